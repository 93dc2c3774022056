"""What the platform tells a head: environment, configuration file, settings. Read, checked, passed on unchanged."""

from __future__ import annotations

import errno
import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fawnspool.adapter.settings import SettingsError, read_tree
from fawnspool.scheduling.interface import Settings


class ConfigError(Exception):
    """The configuration can't be used; the text names the file, the place and what was expected. no_descriptor: there
    was none left to read it with. not_whole: there was no file, or not to its end: it may just be written."""

    def __init__(self, text: str, no_descriptor: bool = False, not_whole: bool = False) -> None:
        super().__init__(text)
        self.no_descriptor, self.not_whole = no_descriptor, not_whole


@dataclass(frozen=True)
class RelayConfig:
    """One head's configuration. seed: for random numbers; known: the list as the head last had it."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory: int  # bytes
    known: Mapping[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    idle_close: float  # a connection idle for this long is closed by the other side, seconds


def load(path: str, environ: Mapping[str, str]) -> RelayConfig:
    """The file, the environment where the file says nothing. Raises ConfigError."""
    try:
        tree = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as bad:
        raise ConfigError(
            f"{path}: {bad.strerror}; RELAY_CONFIG names the configuration",
            bad.errno in (errno.EMFILE, errno.ENFILE),
            bad.errno == errno.ENOENT,
        ) from None
    except (ValueError, RecursionError) as bad:
        raise ConfigError(f"{path}: not JSON: {bad}", not_whole=True) from None
    if not isinstance(tree, dict):
        raise ConfigError(f"{path}: expected an object")
    settings = tree.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError(f"{path}: settings: expected an object")
    limits, known = tree.get("limits") or {}, tree.get("known")
    try:
        return RelayConfig(
            name=str(tree.get("name") or environ.get("RELAY_NAME", "")),
            listen=_address(path, "listen", tree.get("listen") or environ.get("RELAY_LISTEN")),
            discovery=_address(path, "discovery", tree.get("discovery") or environ.get("RELAY_DISCOVERY")),
            seed=_seed(path, tree.get("seed", 0)),
            sockets=int(limits.get("sockets", 1024)),
            memory=int(float(limits.get("memory_mb", 192)) * 2**20),
            known=known if isinstance(known, dict) else {},
            settings=read_tree(settings),
            zones=_names(settings, "localities"),
            kinds=_names(settings, "kinds"),
            idle_close=float((settings.get("limits") or {}).get("idle_close", 15.0)),
        )
    except SettingsError as bad:
        raise ConfigError(f"{path}: settings: {bad}") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as bad:
        raise ConfigError(f"{path}: {bad}") from None


def _names(settings: Mapping[str, Any], place: str) -> tuple[str, ...]:
    value = settings.get(place)
    return tuple(str(v) for v in value) if isinstance(value, list) else ()


def _address(path: str, place: str, raw: Any) -> tuple[str, int]:
    host, _, port = str(raw or "").rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{path}: {place}: expected an address such as 10.0.0.4:8443, found {raw!r}")
    return host, int(port)


def _seed(path: str, raw: Any) -> int:
    try:
        return int(raw, 16) if isinstance(raw, str) else int(raw)
    except (TypeError, ValueError):
        raise ConfigError(f"{path}: seed: expected hex digits, found {raw!r}") from None
