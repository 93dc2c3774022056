"""Lets a version with another interface be told this program's events, and gives its actions in our types."""

from __future__ import annotations

import dataclasses
import types
from collections.abc import Callable
from enum import Enum
from typing import Any

from fawnspool.records.former_names import FORMER_TYPE_NAMES, former_field_name
from fawnspool.scheduling import interface

Policy = Callable[[Any, int], Any]


def bridge(policy: Policy, other: types.ModuleType) -> Policy:
    """Return a policy of another interface that takes and gives this program's types.

    Types and fields go by their names, former ones too. What the other side does not know is left out.
    """

    def there(value: Any) -> Any:
        return _converted(value, other)

    class Bridged:
        def __init__(self, settings: Any, seed: int) -> None:
            self.inner = policy(there(settings), seed)
            self.actions: list[Any] = []

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
