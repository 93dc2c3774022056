"""What is wrong with a document of settings, and where."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Problem:
    """One thing that is wrong, and where.

    Parameters
    ----------
    file : str
        The file that it stands in.
    line : int
        Counted from 1; 0 means the file as a whole.
    field : str
        The setting's path, such as `plan.basic.rate`; may be empty.
    text : str
        What is wrong, and what is allowed.
    """

    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}" if self.line else self.file
        return f"{where}: {self.field}: {self.text}" if self.field else f"{where}: {self.text}"


class ConfigError(Exception):
    """A document that does not read.

    Attributes
    ----------
    problems : list of Problem
        All that is wrong with it.
    """

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems
