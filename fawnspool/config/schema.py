"""Checked HCL: a document is read into frozen dataclasses, and all its errors are reported at once.

The shape of a document is the dataclasses themselves: a field's type and its `spec` say what is allowed. Nothing here
knows what a setting is for. Errors name file, line and field, what was found, what is allowed, and for an unknown name
the nearest known one.
"""

from __future__ import annotations

import dataclasses
import types
import typing
from collections.abc import Callable, Mapping
from dataclasses import field
from pathlib import Path
from typing import Any, TypeVar

from fawnspool.config.document import Body, Setting, parse_document, read_document
from fawnspool.config.problems import ConfigError, Problem
from fawnspool.config.values import UnexpectedValueError, nearest, read_value

__all__ = ["ConfigError", "Problem", "Reader", "block", "load", "parse", "spec"]

T = TypeVar("T")


def spec(  # noqa: PLR0913 - a field is declared by keywords, all but the default
    default: Any = dataclasses.MISSING,
    *,
    kind: str = "",
    low: float | None = None,
    high: float | None = None,
    among: tuple[str, ...] = (),
    label: bool = False,
) -> Any:
    """Declare a field of a block.

    Parameters
    ----------
    default : object or function
        Its value where the document says nothing, or what makes it; without one it must be given.
    kind : str
        "time" (seconds, written "250ms"), "size" (bytes, written "64KiB"), "address" (host:port), or empty.
    low, high : float
        Bounds, both allowed.
    among : tuple of str
        The words allowed.
    label : bool
        Whether it is the block's label, not an attribute.
    """
    metadata = {"kind": kind, "low": low, "high": high, "among": among, "label": label}
    if isinstance(default, list | dict):
        raise TypeError("defaults are immutable")  # noqa: TRY003 - a slip of whoever declares the field
    if isinstance(default, types.FunctionType):
        return field(default_factory=default, metadata=metadata)
    return field(default=default, metadata=metadata)


def block(kind: type[Any], *, many: bool = False, optional: bool = False) -> Any:
    """Declare a nested block: exactly one, one or none (`optional`), or a tuple of any number (`many`)."""
    metadata = {"block": kind, "many": many, "optional": optional}
    if many:
        return field(default=(), metadata=metadata)
    if optional:
        return field(default=None, metadata=metadata)
    return field(default_factory=kind, metadata=metadata)


def load(path: str | Path, kind: type[T], check: Callable[[T, Reader], None] | None = None) -> T:
    """Read a file into a dataclass.

    `base = "other.hcl"` at its top names a file beside it whose settings hold where this one says nothing: blocks of
    the same name and label are merged, others added.

    Parameters
    ----------
    path : str or Path
        The file.
    kind : type
        The dataclass of the document as a whole.
    check : callable, optional
        Reports what only the document as a whole shows, if its parts read.

    Raises
    ------
    ConfigError
        With every problem found.
    """
    return _read_whole(read_document(Path(path)), str(path), kind, check)


def parse(text: str, file: str, kind: type[T], check: Callable[[T, Reader], None] | None = None) -> T:
    """Like `load`, from text that stands alone; `file` is only the name used in errors."""
    return _read_whole(parse_document(text, file), file, kind, check)


def _read_whole(document: Body, file: str, kind: type[T], check: Callable[[T, Reader], None] | None) -> T:
    reader = Reader(file)
    value = reader.block(document, kind, "")
    if check is not None and not reader.problems:
        check(value, reader)
    if reader.problems:
        raise ConfigError(sorted(reader.problems, key=lambda problem: problem.line))
    return typing.cast(T, value)


class Reader:
    """Walks one document and gathers what is wrong with it."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems = list[Problem]()
        self._lines = dict[int, int]()  # of each block read, by its identity

    def wrong(self, where: object, field_name: str, text: str) -> None:
        """Note a problem at a block read earlier, or at a line."""
        line = where if isinstance(where, int) else self._lines.get(id(where), 0)
        self.problems.append(Problem(getattr(line, "file", self.file), line, field_name, text))

    def block(self, body: Body, kind: type[Any], path: str, label: str = "") -> Any:
        """Read a block's content into `kind`; None where a needed part is missing or wrong, which is noted."""
        known = {declared.name.rstrip("_"): declared for declared in dataclasses.fields(kind)}
        first_lines: dict[str, int] = {}
        given = self._settings(body, kind, path, known, first_lines)
        given |= self._nested(body, path, known, first_lines)
        for name, declared in known.items():
            if declared.metadata.get("label"):
                given[declared.name] = label
            elif _is_needed(declared) and name not in first_lines:
                self.wrong(body.line, _joined(path, name), "is missing")
        try:
            made = kind(**given)
        except TypeError:
            return None  # something needed is missing or wrong: reported already
        except ValueError as error:
            self.wrong(body.line, path, str(error))
            return None
        self._lines[id(made)] = body.line
        return made

    def _settings(
        self,
        body: Body,
        kind: type[Any],
        path: str,
        known: Mapping[str, dataclasses.Field[Any]],
        first_lines: dict[str, int],
    ) -> dict[str, Any]:
        """Return the values of a block's settings by field."""
        hints = typing.get_type_hints(kind)
        given: dict[str, Any] = {}
        for setting in body.settings:
            where = _joined(path, setting.name)
            declared = known.get(setting.name)
            if declared is None or declared.metadata.get("label"):
                self._unknown(setting.line, where, setting.name, known)
            elif setting.name in first_lines:
                self.wrong(setting.line, where, f"stands twice; first in line {first_lines[setting.name]}")
            elif "block" in declared.metadata:
                self.wrong(setting.line, where, f"is a block, not a setting: write {setting.name} {{ ... }}")
            else:
                value = self._value(setting, hints[declared.name], declared.metadata, where)
                if value is not None:
                    given[declared.name] = value
            first_lines.setdefault(setting.name, setting.line)
        return given

    def _nested(
        self, body: Body, path: str, known: Mapping[str, dataclasses.Field[Any]], first_lines: dict[str, int]
    ) -> dict[str, Any]:
        """Return the blocks inside a block by field."""
        rows: dict[str, list[tuple[list[str], Body]]] = {}
        for name, labels, inner in body.blocks:
            declared = known.get(name)
            if declared is None:
                self._unknown(inner.line, _joined(path, name), name, known)
            elif "block" not in declared.metadata:
                self.wrong(inner.line, _joined(path, name), f"is a setting, not a block: write {name} = ...")
            else:
                rows.setdefault(name, []).append((labels, inner))
            first_lines.setdefault(name, inner.line)
        given: dict[str, Any] = {}
        for name, found in rows.items():
            declared = known[name]
            made = self._blocks(declared, found, _joined(path, name))
            if declared.metadata["many"]:
                given[declared.name] = tuple(made)
            elif made:
                given[declared.name] = made[0]
        return given

    def _blocks(self, declared: dataclasses.Field[Any], rows: list[tuple[list[str], Body]], path: str) -> list[Any]:
        """Return what the blocks of one name read as."""
        kind, many = declared.metadata["block"], declared.metadata["many"]
        is_labelled = any(inner.metadata.get("label") for inner in dataclasses.fields(kind))
        made = list[Any]()
        first_lines = dict[str, int]()
        for labels, body in rows:
            if len(labels) != is_labelled:
                self.wrong(body.line, path, _wrong_label(declared.name, is_labelled))
                continue
            label = labels[0] if labels else ""
            where = f"{path}.{label}" if label else path
            if label in first_lines:
                self.wrong(body.line, where, f"stands twice; first in line {first_lines[label]}")
            if is_labelled or not many:
                first_lines[label] = body.line
            value = self.block(body, kind, where, label)
            if value is not None:
                made.append(value)
        return made

    def _unknown(self, line: int, where: str, name: str, known: Mapping[str, Any]) -> None:
        near = nearest(name, known)
        advice = f"did you mean {near!r}?" if near else f"known: {', '.join(sorted(known))}"
        self.wrong(line, where, f"is not known here; {advice}")

    def _value(self, setting: Setting, hint: Any, metadata: Mapping[str, Any], where: str) -> Any:
        """Return a setting's value, a tuple for a list; None where it is wrong, which is noted."""
        if typing.get_origin(hint) is not tuple:
            return self._item(setting, setting.value, hint, metadata, where)
        if not isinstance(setting.value, list):
            self.wrong(setting.line, where, f"expected a list, found {setting.value!r}")
            return None
        item_hint = typing.get_args(hint)[0]
        items = [
            self._item(setting, item, item_hint, metadata, f"{where}[{place}]")
            for place, item in enumerate(setting.value)
        ]
        return None if None in items else tuple(items)

    def _item(self, setting: Setting, value: Any, hint: Any, metadata: Mapping[str, Any], where: str) -> Any:
        try:
            return read_value(value, hint, metadata)
        except UnexpectedValueError as error:
            self.wrong(setting.line, where, str(error))
            return None


def _joined(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _is_needed(declared: dataclasses.Field[Any]) -> bool:
    return declared.default is dataclasses.MISSING and declared.default_factory is dataclasses.MISSING


def _wrong_label(name: str, is_labelled: bool) -> str:
    if is_labelled:
        return f'needs one label: {name} "name" {{ ... }}'
    return f"takes no label: {name} {{ ... }}"
