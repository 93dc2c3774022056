"""Comparisons that were made, kept so that they can be found, shown and made again.

One JSON file for each, named by the hash of its question: days, arms (with hashes of their versions), seeds, fit and
budget. The same question so has one answer; another answer to it is told, never overwritten.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from fawnspool.model.compare import Arm, DayComparison

FORM = 1


class StoreError(Exception):
    """A store that does not read, or an answer that differs; the text names the file."""


@dataclass(frozen=True)
class AskedDay:
    """A day as it was compared: its name and text, and the traffic beside it (a description or recording), by hash."""

    name: str
    text: str
    traffic: str = ""


@dataclass(frozen=True)
class Question:
    """Everything that an answer follows from."""

    a: Arm
    b: Arm
    versions: tuple[str, str]  # hashes of the arms' texts with their constants
    program: str  # hash of the model itself
    days: tuple[AskedDay, ...]
    runs: int
    narrow: float
    seed: int
    fit: str = "none"
    beyond: bool = False


@dataclass
class Kept:
    question: Question
    answers: list[DayComparison] = field(default_factory=list)
    form: int = FORM

    @property
    def ident(self) -> str:
        return ident(self.question)

    def text(self) -> bytes:
        """The file's bytes: the same for the same answer."""
        return msgspec.json.format(msgspec.json.encode(self, order="deterministic"))


def ident(question: Question) -> str:
    """Twelve characters that name a question."""
    return hashlib.sha256(msgspec.json.encode(question, order="deterministic")).hexdigest()[:12]


def program_hash() -> str:
    """Of the text of everything that the model's answers come from, apart from the arms' own versions."""
    root = Path(__file__).parent.parent
    digest = hashlib.sha256()
    for package in ("days", "model", "rules"):
        for path in sorted((root / package).glob("*.py")):
            digest.update(path.name.encode() + path.read_bytes())
    return digest.hexdigest()[:12]


class Store:
    """A folder of comparisons."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)

    def keep(self, kept: Kept) -> Path:
        """Write it; the same answer again changes nothing. Raises StoreError where another answer is kept already."""
        path = self.folder / f"{kept.ident}.json"
        data = kept.text()
        if path.exists() and path.read_bytes() != data:
            raise StoreError(
                f"{path}: holds another answer to the same question: the model is not deterministic, or "
                "the file was changed; move it away to keep both"
            )
        self.folder.mkdir(parents=True, exist_ok=True)
        draft = path.with_suffix(".draft")
        draft.write_bytes(data)
        os.replace(draft, path)
        return path

    def get(self, ident: str) -> Kept:
        """A comparison by the first characters of its name. Raises StoreError."""
        found = sorted(self.folder.glob(f"{ident}*.json")) if ident else []
        if len(found) != 1:
            known = ", ".join(p.stem for p in sorted(self.folder.glob("*.json"))) or "none"
            raise StoreError(f"{ident!r} names {len(found)} comparisons in {self.folder}; kept there: {known}")
        return self._read(found[0])

    def all(self) -> Iterator[Kept]:
        for path in sorted(self.folder.glob("*.json")):
            yield self._read(path)

    def _read(self, path: Path) -> Kept:
        try:
            kept = msgspec.json.decode(path.read_bytes(), type=Kept)
        except (OSError, msgspec.DecodeError) as bad:
            raise StoreError(f"{path}: does not read: {bad}") from None
        if kept.form != FORM:
            raise StoreError(f"{path}: form {kept.form}, this program reads {FORM}")
        if kept.ident != path.stem:
            raise StoreError(f"{path}: its question hashes to {kept.ident}: the file was changed or renamed")
        return kept
