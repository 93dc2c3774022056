"""Versions of the decisions side by side: this checkout's, another checkout's or a wheel's, each loaded apart.

A version is named by a path to a checkout, to a `scheduler.py` (or, of older versions, a `control.py`) with the other
modules beside it, or to a wheel; "" is this program's own. Constants of its modules may be set to other values, in
that copy alone.
"""

from __future__ import annotations

import dataclasses
import hashlib
import importlib
import importlib.abc
import importlib.machinery
import sys
import types
import zipfile
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from enum import Enum
from pathlib import Path, PurePosixPath
from typing import Any

import fawnspool
from fawnspool.records.former_names import FORMER_CONSTANT_NAMES, FORMER_TYPE_NAMES, former_field_name
from fawnspool.scheduling import interface

Policy = Callable[[Any, int], Any]

PACKAGE = "fawnspool.scheduling"
INTERFACE = "interface"


class VersionError(Exception):
    """A version that can't be loaded; the text says what was looked for, and where."""


@dataclasses.dataclass(frozen=True)
class _Layout:
    """Where a version keeps its decisions: the package of its modules, the module and the class to start from."""

    package: str
    entry: str
    policy: str

    def names(self, module: str) -> bool:
        """Is the module one of the decisions?"""
        return self.package == PACKAGE or module in (self.entry, INTERFACE)


_CURRENT = _Layout(PACKAGE, "scheduler", "Scheduler")
_FORMER = _Layout("fawnspool", "control", "Controller")  # up to build d5787bd
_LAYOUTS = (_CURRENT, _FORMER)


@dataclasses.dataclass(frozen=True)
class _Source:
    """The text of a version's modules by name."""

    layout: _Layout
    texts: dict[str, str]

    def digest(self, constants: dict[str, float]) -> str:
        entry = self.texts[self.layout.entry]
        others = [self.texts[name] for name in sorted(self.texts) if name not in (self.layout.entry, INTERFACE)]
        text = "".join((entry, *others)) + repr(sorted(constants.items()))
        return hashlib.sha256(text.encode()).hexdigest()[:12]


def _read(path: str) -> _Source:
    """The modules of a version. Raises VersionError."""
    place = Path(path) if path else Path(fawnspool.__file__).parent.parent
    if place.suffix == ".whl":
        return _read_wheel(place)
    if place.is_dir():
        for layout in _LAYOUTS:
            file = place.joinpath(*layout.package.split("."), f"{layout.entry}.py")
            if file.is_file():
                return _read_beside(layout, file)
        raise VersionError(f"{place}: there is no scheduler.py and no control.py")
    if not place.is_file():
        raise VersionError(f"{place}: there is no such file")
    return _read_beside(_CURRENT if place.stem == _CURRENT.entry else _FORMER, place)


def _read_beside(layout: _Layout, entry: Path) -> _Source:
    own = Path(interface.__file__).parent  # a scheduler.py that lies alone goes with this program's other modules
    folders = (own, entry.parent) if layout is _CURRENT else (entry.parent,)
    texts = {
        file.stem: file.read_text()
        for folder in folders
        for file in folder.glob("*.py")
        if layout.names(file.stem) and file.stem != "__init__"
    }
    texts[layout.entry] = entry.read_text()
    if INTERFACE not in texts and layout is _FORMER:
        raise VersionError(f"{entry}: there is no interface.py beside it, which an older version needs")
    return _Source(layout, texts)


def _read_wheel(place: Path) -> _Source:
    try:
        with zipfile.ZipFile(place) as wheel:
            files = {PurePosixPath(name): name for name in wheel.namelist() if name.endswith(".py")}
            for layout in _LAYOUTS:
                folder = PurePosixPath(*layout.package.split("."))
                if folder / f"{layout.entry}.py" in files:
                    return _Source(
                        layout,
                        {
                            file.stem: wheel.read(name).decode()
                            for file, name in files.items()
                            if file.parent == folder and layout.names(file.stem) and file.stem != "__init__"
                        },
                    )
    except (OSError, zipfile.BadZipFile) as error:
        raise VersionError(f"{place}: is no wheel of this program: {error}") from None
    raise VersionError(f"{place}: is no wheel of this program: there is no scheduler.py and no control.py")


class _Finder(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Imports a version's modules from their texts."""

    def __init__(self, source: _Source, path: str) -> None:
        self.source, self.path = source, path

    def find_spec(
        self, fullname: str, path: Sequence[str] | None = None, target: types.ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        package, _, name = fullname.rpartition(".")
        if package != self.source.layout.package or name not in self.source.texts:
            return None
        return importlib.machinery.ModuleSpec(fullname, self)

    def exec_module(self, module: types.ModuleType) -> None:
        name = module.__name__.rpartition(".")[2]
        where = f"<{name} of {self.path or 'this program'}>"
        exec(compile(self.source.texts[name], where, "exec"), module.__dict__)


@contextmanager
def _apart(source: _Source, path: str) -> Iterator[None]:
    """While it lasts, imports of the decisions give the version's own modules; afterwards this program's again."""
    ours = {name: sys.modules.pop(name) for name in list(sys.modules) if _is_decision(source.layout, name)}
    finder = _Finder(source, path)
    sys.meta_path.insert(0, finder)
    if source.layout is _CURRENT:
        package = types.ModuleType(PACKAGE)
        package.__path__ = []
        sys.modules[PACKAGE] = package
        if source.texts.get(INTERFACE, _own_interface()) == _own_interface():
            sys.modules[f"{PACKAGE}.{INTERFACE}"] = interface
            package.interface = interface  # type: ignore[attr-defined]
    try:
        yield
    finally:
        sys.meta_path.remove(finder)
        for name in [name for name in sys.modules if _is_decision(source.layout, name)]:
            del sys.modules[name]
        sys.modules.update(ours)
        fawnspool.scheduling = sys.modules[PACKAGE]


def _is_decision(layout: _Layout, module: str) -> bool:
    if layout is _CURRENT:
        return module == PACKAGE or module.startswith(f"{PACKAGE}.")
    return module in (f"{layout.package}.{layout.entry}", f"{layout.package}.{INTERFACE}")


def _own_interface() -> str:
    return Path(interface.__file__).read_text()


def load(path: str = "", constants: dict[str, float] | None = None) -> tuple[Policy, str]:
    """A version's policy class and a hash of its text with the constants set. Raises VersionError."""
    source, constants = _read(path), constants or {}
    layout = source.layout
    with _apart(source, path):
        try:
            entry = importlib.import_module(f"{layout.package}.{layout.entry}")
        except Exception as error:
            raise VersionError(
                f"{path or 'this program'}: {layout.entry}.py does not load: {type(error).__name__}: {error}"
            ) from None
        modules = [
            module
            for name, module in sys.modules.items()
            if _is_decision(layout, name) and module is not interface and not name.endswith(INTERFACE)
        ]
        terms = sys.modules[f"{layout.package}.{INTERFACE}"]
    for name, value in constants.items():
        _set_constant(modules, name, value, path)
    policy: Policy = getattr(entry, layout.policy)
    return (policy if terms is interface else _bridge(policy, terms)), source.digest(constants)


def _set_constant(modules: list[types.ModuleType], name: str, value: float, path: str) -> None:
    """Set a constant in each module that has it, by definition or by import. Raises VersionError.

    A constant that was renamed is known under each of its names, whichever of them the version has.
    """
    having = [
        (module, known)
        for known in _names_of_constant(name)
        for module in modules
        if isinstance(getattr(module, known, None), int | float)
    ]
    if not having:
        numbers = {
            k for module in modules for k, v in vars(module).items() if k.isupper() and isinstance(v, int | float)
        }
        raise VersionError(f"{path or 'this program'}: has no number {name}; numbers: {', '.join(sorted(numbers))}")
    for module, known in having:
        setattr(module, known, type(getattr(module, known))(value))


def _names_of_constant(name: str) -> list[str]:
    """The name itself, its names since it was renamed, and its former name."""
    former = [former for former, names in FORMER_CONSTANT_NAMES.items() if name in names]
    return [name, *FORMER_CONSTANT_NAMES.get(name, ()), *former]


def _bridge(policy: Policy, other: types.ModuleType) -> Policy:
    """A policy of another interface, told our events in its own terms: by name, what it does not know left out."""

    def there(value: Any) -> Any:
        return _converted(value, other)

    class Bridged:
        def __init__(self, settings: Any, seed: int) -> None:
            self.inner, self.actions = policy(there(settings), seed), list[Any]()

        def handle(self, now: float, event: Any) -> list[Any]:
            if _type_in(other, type(event)) is None:
                return []
            self.actions = [_converted(action, interface) for action in self.inner.handle(now, there(event))]
            return self.actions

        def __getattr__(self, name: str) -> Any:
            return getattr(self.inner, name)

    return Bridged


_CURRENT_TYPE_NAMES = {former: name for name, former in FORMER_TYPE_NAMES.items()}


def _type_in(terms: Any, kind: type[Any]) -> Any:
    """The type of an interface that stands for the given one, under its own, its former or its current name."""
    name = kind.__name__
    for known in (name, FORMER_TYPE_NAMES.get(name), _CURRENT_TYPE_NAMES.get(name)):
        if known is not None and hasattr(terms, known):
            return getattr(terms, known)
    return None


def _converted(value: Any, terms: Any) -> Any:
    """A value of one interface in the terms of another. Fields that the other does not know are left out."""
    if isinstance(value, Enum):
        return _type_in(terms, type(value))(value.value)
    if isinstance(value, tuple):
        return tuple(_converted(part, terms) for part in value)
    if not dataclasses.is_dataclass(value) or isinstance(value, type):
        return value
    kind = _type_in(terms, type(value))
    current = kind.__name__ if terms is interface else type(value).__name__
    wanted = {former_field_name(current, field.name): field.name for field in dataclasses.fields(kind)}
    fields = {}
    for field in dataclasses.fields(value):
        name = wanted.get(former_field_name(current, field.name))
        if name is not None:
            fields[name] = _converted(getattr(value, field.name), terms)
    return kind(**fields)
