"""Checked HCL: a document is read into frozen dataclasses, and every error is told at once.

The shape of a document is the dataclasses themselves: an attribute's type and its `spec` say what is
allowed. Nothing here knows what a setting is for. Errors name file, line and field, what was found, what is
allowed, and for an unknown name the nearest known one.
"""

from __future__ import annotations

import dataclasses
import difflib
import re
import types
import typing
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import hcl2
from hcl2 import SerializationOptions
from hcl2.rules.base import AttributeRule, BlockRule

T = TypeVar("T")
_UNITS = {"us": 1.0, "ms": 1.0, "s": 1.0, "m": 60.0, "h": 3600.0}
_PARTS = {"us": 1e6, "ms": 1e3}  # divided by, as 400 * 1e-6 is not 0.0004 to the last digit
_SIZES = {"": 1, "B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_OPTIONS = SerializationOptions(strip_string_quotes=True)


@dataclass(frozen=True)
class Problem:
    """One thing that is wrong, and where. `line` counts from 1; 0: the file as a whole."""

    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}" if self.line else self.file
        return f"{where}: {self.field}: {self.text}" if self.field else f"{where}: {self.text}"


class ConfigError(Exception):
    """A document that does not read; `problems` holds all that is wrong with it."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def spec(
    default: Any = dataclasses.MISSING,
    *,
    kind: str = "",
    low: float | None = None,
    high: float | None = None,
    among: tuple[str, ...] = (),
    label: bool = False,
) -> Any:
    """A field of a block. kind: "time" (seconds, written "250ms"), "size" (bytes, written "64KiB"),
    "address" (host:port); among: the words allowed; label: the block's label, not an attribute."""
    meta = {"kind": kind, "low": low, "high": high, "among": among, "label": label}
    if isinstance(default, list | dict):
        raise TypeError("defaults are immutable")
    if isinstance(default, types.FunctionType):
        return field(default_factory=default, metadata=meta)
    return field(default=default, metadata=meta)


def block(kind: type[Any], *, many: bool = False, optional: bool = False) -> Any:
    """A nested block: exactly one, one or none (`optional`), or a tuple of any number (`many`)."""
    meta = {"block": kind, "many": many, "optional": optional}
    if many:
        return field(default=(), metadata=meta)
    if optional:
        return field(default=None, metadata=meta)
    return field(default_factory=kind, metadata=meta)


def load(path: str | Path, kind: type[T], check: Callable[[T, Reader], None] | None = None) -> T:
    """Read the file at `path` into `kind`. `base = "other.hcl"` at its top names a file beside it whose settings hold
    where this one says nothing: blocks of the same name and label are merged, others added. Raises ConfigError with
    every problem found."""
    return _make(_based(Path(path), ()), str(path), kind, check)


def parse(text: str, file: str, kind: type[T], check: Callable[[T, Reader], None] | None = None) -> T:
    """Like `load`, from text that stands alone; `file` is only the name used in errors."""
    return _make(_raw(text, file), file, kind, check)


def _based(path: Path, above: tuple[Path, ...]) -> _Body:
    """A file's content over that of its base."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as bad:
        raise ConfigError(
            [
                Problem(
                    str(above[-1] if above else path),
                    0,
                    "base" if above else "",
                    f"{path} can't be read: {bad}" if above else f"can't be read: {bad}",
                )
            ]
        ) from None
    raw = _raw(text, str(path))
    names = [(line, value) for name, line, value in raw.settings if name == "base"]
    if not names:
        return raw
    line, name = names[0]
    name = str(name).strip('"')
    if path.resolve() in above or len(names) > 1:
        why = "stands twice" if len(names) > 1 else f"goes round in a circle through {name}"
        raise ConfigError([Problem(str(path), line, "base", why)])
    raw.settings = [row for row in raw.settings if row[0] != "base"]
    return _over(_based(path.parent / name, (*above, path.resolve())), raw)


def _over(base: _Body, own: _Body) -> _Body:
    """`own` laid over `base`: its settings win, blocks of one name and label are merged; a block that stands twice in
    `own` is left twice, to be told."""
    mine = {name for name, _, _ in own.settings}
    out = _Body(own.line, [row for row in base.settings if row[0] not in mine] + own.settings, [])
    left = list(own.blocks)
    for name, labels, body in base.blocks:
        same = next((row for row in left if row[:2] == (name, labels)), None)
        if same is not None:
            left.remove(same)
            body = _over(body, same[2])
        out.blocks.append((name, labels, body))
    out.blocks += left
    return out


def _raw(text: str, file: str) -> _Body:
    try:
        return _body(hcl2.parses(text + "\n").body, _Place(1, file))
    except Exception as bad:  # the library's parser raises kinds of its own
        line = getattr(bad, "line", 0)
        first = str(bad).strip().splitlines()[0] if str(bad).strip() else type(bad).__name__
        raise ConfigError(
            [Problem(file, line if isinstance(line, int) and line > 0 else 0, "", f"is not HCL: {first}")]
        ) from None


def _make(raw: _Body, file: str, kind: type[T], check: Callable[[T, Reader], None] | None) -> T:
    reader = Reader(file)
    value = reader.block(raw, kind, "")
    if check is not None and not reader.problems:
        check(value, reader)
    if reader.problems:
        raise ConfigError(sorted(reader.problems, key=lambda p: p.line))
    return typing.cast(T, value)


@dataclass
class _Body:
    """A block's content with the lines it stands in: (name, line, value) and (name, label, body)."""

    line: _Place
    settings: list[tuple[str, _Place, Any]]
    blocks: list[tuple[str, list[str], _Body]]


def _body(rule: Any, line: _Place) -> _Body:
    out = _Body(line, [], [])
    for child in rule.children:
        if isinstance(child, AttributeRule):
            ((name, value),) = child.serialize(_OPTIONS).items()
            out.settings.append((name, _line(child, line), value))
        elif isinstance(child, BlockRule):
            name, *labels = [str(label.serialize(_OPTIONS)).strip('"') for label in child.labels]
            out.blocks.append((name, labels, _body(child.body, _line(child, line))))
    return out


def _line(rule: Any, line: _Place) -> _Place:
    found = getattr(rule._meta, "line", line)  # the library keeps the place here only
    return _Place(found, line.file) if isinstance(found, int) else line


class _Place(int):
    """A line that knows its file, as a document can be made of several."""

    file: str

    def __new__(cls, line: int, file: str) -> _Place:
        made = super().__new__(cls, line)
        made.file = file
        return made


class Reader:
    """Walks one document and gathers what is wrong with it."""

    def __init__(self, file: str) -> None:
        self.file, self.problems, self.lines = file, list[Problem](), dict[int, int]()

    def wrong(self, where: object, field_name: str, text: str) -> None:
        """Note a problem at a block read earlier (or at a line)."""
        line = where if isinstance(where, int) else self.lines.get(id(where), 0)
        self.problems.append(Problem(getattr(line, "file", self.file), line, field_name, text))

    def block(self, raw: _Body, kind: type[Any], path: str, label: str = "") -> Any:
        hints = typing.get_type_hints(kind)
        known = {f.name.rstrip("_"): f for f in dataclasses.fields(kind)}
        given: dict[str, Any] = {}
        first: dict[str, int] = {}
        for name, line, value in raw.settings:
            f, at = known.get(name), f"{path}.{name}" if path else name
            if f is None or f.metadata.get("label"):
                self._unknown(line, at, name, known)
            elif name in first:
                self.wrong(line, at, f"stands twice; first in line {first[name]}")
            elif "block" in f.metadata:
                self.wrong(line, at, f"is a block, not a setting: write {name} {{ ... }}")
            elif (read := self._value(value, hints[f.name], f.metadata, at, line)) is not None:
                given[f.name] = read
            first.setdefault(name, line)
        rows: dict[str, list[tuple[list[str], _Body]]] = {}
        for name, labels, body in raw.blocks:
            f, at = known.get(name), f"{path}.{name}" if path else name
            if f is None:
                self._unknown(body.line, at, name, known)
            elif "block" not in f.metadata:
                self.wrong(body.line, at, f"is a setting, not a block: write {name} = ...")
            else:
                rows.setdefault(name, []).append((labels, body))
            first.setdefault(name, body.line)
        for name, found in rows.items():
            self._blocks(known[name], found, f"{path}.{name}" if path else name, given)
        for name, f in known.items():
            if f.metadata.get("label"):
                given[f.name] = label
            elif f.default is f.default_factory is dataclasses.MISSING and name not in first:
                self.wrong(raw.line, f"{path}.{name}" if path else name, "is missing")
        try:
            made = kind(**given)
        except TypeError:
            return None  # something needed is missing or wrong: already told
        except ValueError as bad:
            self.wrong(raw.line, path, str(bad))
            return None
        self.lines[id(made)] = raw.line
        return made

    def _unknown(self, line: int, at: str, name: str, known: Mapping[str, Any]) -> None:
        near = difflib.get_close_matches(name, known, 1, 0.5)
        self.wrong(
            line,
            at,
            f"is not known here; did you mean {near[0]!r}?"
            if near
            else f"is not known here; known: {', '.join(sorted(known))}",
        )

    def _blocks(
        self, f: dataclasses.Field[Any], rows: list[tuple[list[str], _Body]], at: str, given: dict[str, Any]
    ) -> None:
        kind, many = f.metadata["block"], f.metadata["many"]
        labelled = any(x.metadata.get("label") for x in dataclasses.fields(kind))
        made, seen = [], dict[str, int]()
        for labels, body in rows:
            if len(labels) != labelled:
                self.wrong(
                    body.line,
                    at,
                    f'needs one label: {f.name} "name" {{ ... }}'
                    if labelled
                    else f"takes no label: {f.name} {{ ... }}",
                )
                continue
            label = labels[0] if labels else ""
            if label in seen:
                self.wrong(body.line, f"{at}.{label}" if label else at, f"stands twice; first in line {seen[label]}")
            if labelled or not many:
                seen[label] = body.line
            got = self.block(body, kind, f"{at}.{label}" if label else at, label)
            if got is not None:
                made.append(got)
        if many:
            given[f.name] = tuple(made)
        elif made:
            given[f.name] = made[0]

    def _value(self, value: Any, hint: Any, meta: Mapping[str, Any], at: str, line: int) -> Any:
        if typing.get_origin(hint) is tuple:
            if not isinstance(value, list):
                return self._bad(at, line, value, "a list")
            item = typing.get_args(hint)[0]
            read = [self._value(v, item, meta, f"{at}[{k}]", line) for k, v in enumerate(value)]
            return None if None in read else tuple(read)
        bare = [a for a in typing.get_args(hint) if a is not type(None)]
        hint = bare[0] if isinstance(hint, types.UnionType) and bare else hint
        kind = meta.get("kind")
        if kind == "time":
            found = re.fullmatch(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)", value) if isinstance(value, str) else None
            if found is None:
                return self._bad(at, line, value, 'a time such as "250ms" or "2s"')
            value = float(found[1]) * _UNITS[found[2]] / _PARTS.get(found[2], 1.0)
        elif kind == "size":
            found = re.fullmatch(r"(\d+)(B|KiB|MiB|GiB|)", str(value))
            if found is None or isinstance(value, bool):
                return self._bad(at, line, value, 'a size such as "64KiB"')
            value = int(found[1]) * _SIZES[found[2]]
        elif kind == "address":
            found = re.fullmatch(r"([0-9.]+|localhost):(\d{1,5})", value) if isinstance(value, str) else None
            if found is None or int(found[2]) > 65535:
                return self._bad(at, line, value, 'an address such as "127.0.0.1:8080"')
        elif hint is bool:
            if not isinstance(value, bool):
                return self._bad(at, line, value, "true or false")
        elif hint is int:
            if not isinstance(value, int) or isinstance(value, bool):
                return self._bad(at, line, value, "a whole number")
        elif hint is float:
            if not isinstance(value, int | float) or isinstance(value, bool):
                return self._bad(at, line, value, "a number")
            value = float(value)
        elif hint is str and not isinstance(value, str):
            return self._bad(at, line, value, "a text in quotes")
        low, high, among = meta.get("low"), meta.get("high"), meta.get("among") or ()
        if (low is not None and value < low) or (high is not None and value > high):
            span = (
                f"from {low:g} to {high:g}"
                if low is not None and high is not None
                else (f"at least {low:g}" if low is not None else f"at most {high:g}")
            )
            return self._bad(at, line, value, span)
        if among and value not in among:
            near = difflib.get_close_matches(str(value), among, 1, 0.5)
            hint_text = f" (did you mean {near[0]!r}?)" if near else ""
            return self._bad(at, line, value, f"one of {', '.join(among)}{hint_text}")
        return value

    def _bad(self, at: str, line: int, value: Any, wanted: str) -> None:
        self.problems.append(Problem(getattr(line, "file", self.file), line, at, f"expected {wanted}, found {value!r}"))
