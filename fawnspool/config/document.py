"""HCL documents with the lines that everything stands in, laid over the files that they name as their base."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import hcl2
from hcl2 import SerializationOptions
from hcl2.rules.base import AttributeRule, BlockRule

from fawnspool.config.problems import ConfigError, Problem

BASE = "base"  # the setting that names the file below this one
_OPTIONS = SerializationOptions(strip_string_quotes=True)


class Line(int):
    """A line number that knows its file, as a document can be made of several."""

    file: str

    def __new__(cls, number: int, file: str) -> Line:
        """Return the line of that number in the file."""
        made = super().__new__(cls, number)
        made.file = file
        return made


@dataclass(frozen=True)
class Setting:
    """One setting of a block."""

    name: str
    line: Line
    value: Any


@dataclass
class Body:
    """A block's content.

    Attributes
    ----------
    line : Line
        Where the block begins.
    settings : list of Setting
        Its settings, in the order of the file.
    blocks : list of tuple
        Name, labels and content of each block inside.
    """

    line: Line
    settings: list[Setting]
    blocks: list[tuple[str, list[str], Body]]


def parse_document(text: str, file: str) -> Body:
    """Parse a document; `file` is the name used in errors.

    Raises
    ------
    ConfigError
        Where the text is not HCL.
    """
    try:
        return _body(hcl2.parses(text + "\n").body, Line(1, file))
    except Exception as error:  # the library's parser raises kinds of its own
        line = getattr(error, "line", 0)
        first = str(error).strip().splitlines()[0] if str(error).strip() else type(error).__name__
        number = line if isinstance(line, int) and line > 0 else 0
        raise ConfigError([Problem(file, number, "", f"is not HCL: {first}")]) from None


def read_document(path: Path, above: tuple[Path, ...] = ()) -> Body:
    """Read a file over that of its base.

    Parameters
    ----------
    path : Path
        The file to read.
    above : tuple of Path
        The files that name it as their base, the first of them first.

    Raises
    ------
    ConfigError
        Where a file can't be read, or names itself through others.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([_unreadable(path, above, error)]) from None
    document = parse_document(text, str(path))
    bases = [setting for setting in document.settings if setting.name == BASE]
    if not bases:
        return document
    name = str(bases[0].value).strip('"')
    if len(bases) > 1:
        raise ConfigError([Problem(str(path), bases[0].line, BASE, "stands twice")])
    if path.resolve() in above:
        raise ConfigError([Problem(str(path), bases[0].line, BASE, f"goes round in a circle through {name}")])
    document.settings = [setting for setting in document.settings if setting.name != BASE]
    return _merged(read_document(path.parent / name, (*above, path.resolve())), document)


def _unreadable(path: Path, above: tuple[Path, ...], error: Exception) -> Problem:
    if above:
        return Problem(str(above[-1]), 0, BASE, f"{path} can't be read: {error}")
    return Problem(str(path), 0, "", f"can't be read: {error}")


def _merged(base: Body, own: Body) -> Body:
    """Lay `own` over `base`: its settings win, blocks of one name and label are merged.

    A block that stands twice in `own` is left twice, to be reported.
    """
    names = {setting.name for setting in own.settings}
    kept = [setting for setting in base.settings if setting.name not in names]
    merged = Body(own.line, kept + own.settings, [])
    remaining = list(own.blocks)
    for name, labels, body in base.blocks:
        same = next((row for row in remaining if row[:2] == (name, labels)), None)
        if same is None:
            merged.blocks.append((name, labels, body))
            continue
        remaining.remove(same)
        merged.blocks.append((name, labels, _merged(body, same[2])))
    merged.blocks += remaining
    return merged


def _body(rule: Any, line: Line) -> Body:
    body = Body(line, [], [])
    for child in rule.children:
        if isinstance(child, AttributeRule):
            ((name, value),) = child.serialize(_OPTIONS).items()
            body.settings.append(Setting(name, _line(child, line), value))
        elif isinstance(child, BlockRule):
            name, *labels = [str(label.serialize(_OPTIONS)).strip('"') for label in child.labels]
            body.blocks.append((name, labels, _body(child.body, _line(child, line))))
    return body


def _line(rule: Any, line: Line) -> Line:
    found = getattr(rule._meta, "line", line)  # the library keeps the place here only
    return Line(found, line.file) if isinstance(found, int) else line
