"""Reading and checking a gateway's configuration: environment, configuration file and settings."""

from __future__ import annotations

import errno
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from fawnspool.adapter.settings import SettingsError, read_tree
from fawnspool.relay.errors import ConfigError, IncompleteConfigError, NoDescriptorLeftError
from fawnspool.scheduling.interface import Settings

CONFIG_VARIABLE = "RELAY_CONFIG"
_NAME_VARIABLE = "RELAY_NAME"
_LISTEN_VARIABLE = "RELAY_LISTEN"
_DISCOVERY_VARIABLE = "RELAY_DISCOVERY"
_DEFAULT_DESCRIPTORS = 1024
_DEFAULT_MEMORY_MB = 192
_DEFAULT_NODE_IDLE_TIMEOUT_S = 15.0
_BYTES_PER_MB = 1_000_000  # the smaller reading, as the platform kills what exceeds its own
_PORTS = range(1, 65536)


@dataclass(frozen=True)
class RelayConfig:
    """One gateway's configuration.

    Attributes
    ----------
    seed
        Seed of the random numbers.
    max_descriptors
        Limit on the process' open file descriptors.
    known_endpoints
        The endpoint list that the gateway had last, in the platform's format. The gateway starts with it.
    zones, node_kinds
        Names of the zones and kinds of nodes; the decision module's number for each is its index.
    node_idle_timeout_s
        Time after which nodes close an idle connection.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    max_descriptors: int
    memory_bytes: int
    known_endpoints: Mapping[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    node_kinds: tuple[str, ...]
    node_idle_timeout_s: float


def load(path: str, environ: Mapping[str, str]) -> RelayConfig:
    """Read the configuration file; the environment supplies values that are missing in it.

    Raises
    ------
    ConfigError
        The configuration is invalid or can't be read; subclasses are raised for a missing or incomplete file and if
        no file descriptor is left.
    """
    tree = _read_json(path)
    if not isinstance(tree, dict):
        raise ConfigError(path, "expected a JSON object")
    settings = tree.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError(path, "settings: expected a JSON object")
    try:
        return _read_tree(path, tree, settings, environ)
    except SettingsError as error:
        raise ConfigError(path, f"settings: {error}") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(path, str(error)) from None


def _read_json(path: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:  # noqa: PTH123 - pathlib takes memory, and nothing else here needs it
            return json.load(file)
    except OSError as error:
        problem = f"{error.strerror}; {CONFIG_VARIABLE} must name the configuration file"
        if error.errno in (errno.EMFILE, errno.ENFILE):
            raise NoDescriptorLeftError(path, problem) from None
        if error.errno == errno.ENOENT:
            raise IncompleteConfigError(path, problem) from None
        raise ConfigError(path, problem) from None
    except (ValueError, RecursionError) as error:
        raise IncompleteConfigError(path, f"invalid JSON: {error}") from None


def _read_tree(
    path: str, tree: Mapping[str, Any], settings: Mapping[str, Any], environ: Mapping[str, str]
) -> RelayConfig:
    process_limits = tree.get("limits") or {}
    request_limits = settings.get("limits") or {}
    known = tree.get("known")
    return RelayConfig(
        name=str(tree.get("name") or environ.get(_NAME_VARIABLE, "")),
        listen=_address(path, "listen", tree.get("listen") or environ.get(_LISTEN_VARIABLE)),
        discovery=_address(path, "discovery", tree.get("discovery") or environ.get(_DISCOVERY_VARIABLE)),
        seed=_seed(path, tree.get("seed", 0)),
        max_descriptors=int(process_limits.get("sockets", _DEFAULT_DESCRIPTORS)),
        memory_bytes=int(float(process_limits.get("memory_mb", _DEFAULT_MEMORY_MB)) * _BYTES_PER_MB),
        known_endpoints=known if isinstance(known, dict) else {},
        settings=read_tree(settings),
        zones=_names(settings, "localities"),
        node_kinds=_names(settings, "kinds"),
        node_idle_timeout_s=float(request_limits.get("idle_close", _DEFAULT_NODE_IDLE_TIMEOUT_S)),
    )


def _names(settings: Mapping[str, Any], field: str) -> tuple[str, ...]:
    value = settings.get(field)
    return tuple(str(name) for name in value) if isinstance(value, list) else ()


def _address(path: str, field: str, raw: Any) -> tuple[str, int]:
    host, _, port = str(raw or "").rpartition(":")
    if not host or not port.isdigit() or int(port) not in _PORTS:
        raise ConfigError(path, f"{field}: expected an address such as 10.0.0.4:8443, found {raw!r}")
    return host, int(port)


def _seed(path: str, raw: Any) -> int:
    try:
        return int(raw, 16) if isinstance(raw, str) else int(raw)
    except (TypeError, ValueError):
        raise ConfigError(path, f"seed: expected hex digits, found {raw!r}") from None
