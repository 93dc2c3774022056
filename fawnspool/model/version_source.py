"""Reads the text of a version's scheduler: from a checkout, from files side by side, or from a wheel."""

from __future__ import annotations

import hashlib
import zipfile
from dataclasses import dataclass
from pathlib import Path, PurePosixPath

import fawnspool
from fawnspool.scheduling import interface

PACKAGE = "fawnspool.scheduling"
INTERFACE = "interface"
THIS_PROGRAM = "this program"
_NO_SCHEDULER = "there is no scheduler.py and no control.py"


class VersionError(Exception):
    """A version that can't be loaded: which, and why."""

    def __init__(self, version: str | Path, problem: str) -> None:
        super().__init__(version, problem)

    def __str__(self) -> str:
        version, problem = self.args
        return f"{version}: {problem}"


@dataclass(frozen=True)
class Layout:
    """Where a version keeps its scheduler: the package of its modules, the module and the class to start from."""

    package: str
    entry: str
    policy: str

    def includes(self, module: str) -> bool:
        """Whether a module of the package is one of the scheduler's."""
        return self.package == PACKAGE or module in (self.entry, INTERFACE)


CURRENT_LAYOUT = Layout(PACKAGE, "scheduler", "Scheduler")
FORMER_LAYOUT = Layout("fawnspool", "control", "Controller")  # up to build d5787bd
_LAYOUTS = (CURRENT_LAYOUT, FORMER_LAYOUT)


@dataclass(frozen=True)
class VersionSource:
    """The text of a version's modules by name."""

    layout: Layout
    texts: dict[str, str]

    def digest(self, constants: dict[str, float]) -> str:
        """Return a hash of the text with constants set to other values."""
        entry = self.texts[self.layout.entry]
        others = [self.texts[name] for name in sorted(self.texts) if name not in (self.layout.entry, INTERFACE)]
        text = "".join((entry, *others)) + repr(sorted(constants.items()))
        return hashlib.sha256(text.encode()).hexdigest()[:12]


def read_version(path: str) -> VersionSource:
    """Read the modules of a version.

    Parameters
    ----------
    path
        Of a checkout, of a `scheduler.py` or `control.py` with the other modules beside it, or of a wheel; "": this
        program's own.

    Raises
    ------
    VersionError
        If there is none.
    """
    place = Path(path) if path else Path(fawnspool.__file__).parent.parent
    if place.suffix == ".whl":
        return _read_wheel(place)
    if place.is_dir():
        for layout in _LAYOUTS:
            file = place.joinpath(*layout.package.split("."), f"{layout.entry}.py")
            if file.is_file():
                return _read_beside(layout, file)
        raise VersionError(place, _NO_SCHEDULER)
    if not place.is_file():
        raise VersionError(place, "there is no such file")
    return _read_beside(CURRENT_LAYOUT if place.stem == CURRENT_LAYOUT.entry else FORMER_LAYOUT, place)


def _read_beside(layout: Layout, entry: Path) -> VersionSource:
    own = Path(interface.__file__).parent  # a scheduler.py that lies alone goes with this program's other modules
    folders = (own, entry.parent) if layout is CURRENT_LAYOUT else (entry.parent,)
    texts = {
        file.stem: file.read_text()
        for folder in folders
        for file in folder.glob("*.py")
        if layout.includes(file.stem) and file.stem != "__init__"
    }
    texts[layout.entry] = entry.read_text()
    if INTERFACE not in texts and layout is FORMER_LAYOUT:
        raise VersionError(entry, "there is no interface.py beside it, which an older version needs")
    return VersionSource(layout, texts)


def _read_wheel(place: Path) -> VersionSource:
    try:
        with zipfile.ZipFile(place) as wheel:
            files = {PurePosixPath(name): name for name in wheel.namelist() if name.endswith(".py")}
            for layout in _LAYOUTS:
                folder = PurePosixPath(*layout.package.split("."))
                if folder / f"{layout.entry}.py" in files:
                    return VersionSource(
                        layout,
                        {
                            file.stem: wheel.read(name).decode()
                            for file, name in files.items()
                            if file.parent == folder and layout.includes(file.stem) and file.stem != "__init__"
                        },
                    )
    except (OSError, zipfile.BadZipFile) as error:
        raise VersionError(place, f"is no wheel of this program: {error}") from None
    raise VersionError(place, f"is no wheel of this program: {_NO_SCHEDULER}")
