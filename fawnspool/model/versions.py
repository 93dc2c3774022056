"""Versions of the policy side by side: this checkout's, another checkout's or a wheel's, each loaded apart.

A version is named by a path to a checkout, to a `control.py` or to a wheel; "" is this program's own. Constants of
its module may be set to other values (`BOUND_ALL=16`), in that copy alone.
"""

from __future__ import annotations

import dataclasses
import hashlib
import sys
import types
import zipfile
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

from fawnspool import interface

Policy = Callable[[Any, int], Any]


class VersionError(Exception):
    """A version that can't be loaded; the text says what was looked for, and where."""


def _texts(path: str) -> tuple[str, str | None]:
    """(control.py, interface.py or None where it lies alone)."""
    place = Path(path) if path else Path(interface.__file__).parent.parent
    if place.suffix == ".whl":
        try:
            with zipfile.ZipFile(place) as wheel:
                return (wheel.read("fawnspool/control.py").decode(), wheel.read("fawnspool/interface.py").decode())
        except (OSError, KeyError, zipfile.BadZipFile) as bad:
            raise VersionError(f"{place}: is no wheel of this program: {bad}") from None
    if place.is_dir():
        place = place / "fawnspool" / "control.py"
    if not place.is_file():
        raise VersionError(f"{place}: there is no control.py")
    beside = place.with_name("interface.py")
    return place.read_text(), beside.read_text() if beside.is_file() else None


def load(path: str = "", constants: dict[str, float] | None = None) -> tuple[Policy, str]:
    """A policy's class and a hash of its text with the constants set. Raises VersionError."""
    control, terms = _texts(path)
    own = Path(interface.__file__).read_text()
    digest = hashlib.sha256((control + repr(sorted((constants or {}).items()))).encode()).hexdigest()[:12]
    name = f"fawnspool_version_{digest}"
    other: types.ModuleType | None = None
    if terms is not None and terms != own:
        other = types.ModuleType(f"{name}_interface")
        sys.modules[other.__name__] = other
        exec(compile(terms, f"<interface of {path}>", "exec"), other.__dict__)
    module = types.ModuleType(name)
    sys.modules[name] = module
    kept = sys.modules["fawnspool.interface"]
    try:
        if other is not None:
            sys.modules["fawnspool.interface"] = other
        exec(compile(control, f"<control of {path or 'this program'}>", "exec"), module.__dict__)
    except Exception as bad:
        raise VersionError(f"{path or 'this program'}: control.py does not load: {type(bad).__name__}: {bad}") from None
    finally:
        sys.modules["fawnspool.interface"] = kept
    for key, value in (constants or {}).items():
        if not isinstance(getattr(module, key, None), int | float):
            known = ", ".join(k for k, v in vars(module).items() if k.isupper() and isinstance(v, int | float))
            raise VersionError(f"{path or 'this program'}: has no number {key}; numbers: {known}")
        setattr(module, key, type(getattr(module, key))(value))
    policy: Policy = module.Controller
    return (policy if other is None else _bridge(policy, other)), digest


def _bridge(policy: Policy, other: types.ModuleType) -> Policy:
    """A policy of another interface, told our events in its own terms: by name, what it does not know left out."""

    def there(value: Any) -> Any:
        return _as(value, other)

    class Bridged:
        def __init__(self, settings: Any, seed: int) -> None:
            self.inner, self.acts = policy(there(settings), seed), list[Any]()

        def handle(self, now: float, event: Any) -> list[Any]:
            if not hasattr(other, type(event).__name__):
                return []
            self.acts = [_as(a, interface) for a in self.inner.handle(now, there(event))]
            return self.acts

        def __getattr__(self, name: str) -> Any:
            return getattr(self.inner, name)

    return Bridged


def _as(value: Any, terms: Any) -> Any:
    if isinstance(value, Enum):
        return getattr(terms, type(value).__name__)(value.value)
    if isinstance(value, tuple):
        return tuple(_as(v, terms) for v in value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        kind = getattr(terms, type(value).__name__)
        names = {f.name for f in dataclasses.fields(kind)}
        return kind(
            **{f.name: _as(getattr(value, f.name), terms) for f in dataclasses.fields(value) if f.name in names}
        )
    return value
