"""Loads versions of the scheduler side by side: this checkout's, another checkout's or a wheel's, each isolated."""

from __future__ import annotations

import importlib
import importlib.abc
import importlib.machinery
import sys
import types
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import fawnspool
from fawnspool.model.version_bridge import Policy, bridge
from fawnspool.model.version_source import (
    CURRENT_LAYOUT,
    INTERFACE,
    PACKAGE,
    THIS_PROGRAM,
    Layout,
    VersionError,
    VersionSource,
    read_version,
)
from fawnspool.records.former_names import FORMER_CONSTANT_NAMES
from fawnspool.scheduling import interface

__all__ = ["Policy", "VersionError", "load"]


class _Finder(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Imports a version's modules from their texts."""

    def __init__(self, source: VersionSource, path: str) -> None:
        self.source = source
        self.path = path

    def find_spec(
        self, fullname: str, path: Sequence[str] | None = None, target: types.ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Find a module of the version; others are left to the other finders."""
        package, _, name = fullname.rpartition(".")
        if package != self.source.layout.package or name not in self.source.texts:
            return None
        return importlib.machinery.ModuleSpec(fullname, self)

    def exec_module(self, module: types.ModuleType) -> None:
        """Run a module's text."""
        name = module.__name__.rpartition(".")[2]
        where = f"<{name} of {self.path or THIS_PROGRAM}>"
        exec(compile(self.source.texts[name], where, "exec"), module.__dict__)


@contextmanager
def _isolated(source: VersionSource, path: str) -> Iterator[None]:
    """While it lasts, imports of the scheduler give the version's own modules; afterwards this program's again."""
    ours = {name: sys.modules.pop(name) for name in list(sys.modules) if _is_of_scheduler(source.layout, name)}
    finder = _Finder(source, path)
    sys.meta_path.insert(0, finder)
    if source.layout is CURRENT_LAYOUT:
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
        for name in [name for name in sys.modules if _is_of_scheduler(source.layout, name)]:
            del sys.modules[name]
        sys.modules.update(ours)
        fawnspool.scheduling = sys.modules[PACKAGE]


def _is_of_scheduler(layout: Layout, module: str) -> bool:
    if layout is CURRENT_LAYOUT:
        return module == PACKAGE or module.startswith(f"{PACKAGE}.")
    return module in (f"{layout.package}.{layout.entry}", f"{layout.package}.{INTERFACE}")


def _own_interface() -> str:
    return Path(interface.__file__).read_text()


def load(path: str = "", constants: dict[str, float] | None = None) -> tuple[Policy, str]:
    """Load a version's policy and a hash of its text with the constants set.

    Parameters
    ----------
    path
        As of `read_version`.
    constants
        Values for constants of its modules, by name, in this copy alone.

    Raises
    ------
    VersionError
        If there is no such version, if it does not load, or if it has no such constant.
    """
    source = read_version(path)
    constants = constants or {}
    layout = source.layout
    with _isolated(source, path):
        try:
            entry = importlib.import_module(f"{layout.package}.{layout.entry}")
        except Exception as error:
            problem = f"{layout.entry}.py does not load: {type(error).__name__}: {error}"
            raise VersionError(path or THIS_PROGRAM, problem) from None
        modules = [
            module
            for name, module in sys.modules.items()
            if _is_of_scheduler(layout, name) and module is not interface and not name.endswith(INTERFACE)
        ]
        terms = sys.modules[f"{layout.package}.{INTERFACE}"]
    for name, value in constants.items():
        _set_constant(modules, name, value, path)
    policy: Policy = getattr(entry, layout.policy)
    return (policy if terms is interface else bridge(policy, terms)), source.digest(constants)


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
            known
            for module in modules
            for known, number in vars(module).items()
            if known.isupper() and isinstance(number, int | float)
        }
        raise VersionError(path or THIS_PROGRAM, f"has no number {name}; numbers: {', '.join(sorted(numbers))}")
    for module, known in having:
        setattr(module, known, type(getattr(module, known))(value))


def _names_of_constant(name: str) -> list[str]:
    """The name itself, its names since it was renamed, and its former name."""
    former = [former for former, names in FORMER_CONSTANT_NAMES.items() if name in names]
    return [name, *FORMER_CONSTANT_NAMES.get(name, ()), *former]
