"""Values of settings: times, sizes, addresses, numbers and words, read and checked by what their field allows."""

from __future__ import annotations

import difflib
import re
import types
import typing
from collections.abc import Callable, Iterable, Mapping
from typing import Any

_UNIT_FACTORS = {"us": 1.0, "ms": 1.0, "s": 1.0, "m": 60.0, "h": 3600.0}
_UNIT_DIVISORS = {"us": 1e6, "ms": 1e3}  # divided by, as 400 * 1e-6 is not 0.0004 to the last digit
_SIZE_FACTORS = {"": 1, "B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_MAX_PORT = 65535
_A_TIME = 'a time such as "250ms" or "2s"'
_A_SIZE = 'a size such as "64KiB"'
_AN_ADDRESS = 'an address such as "127.0.0.1:8080"'
_A_BOOL = "true or false"
_A_WHOLE_NUMBER = "a whole number"
_A_NUMBER = "a number"
_A_TEXT = "a text in quotes"
_NEAR = 0.5  # how like a known word an unknown one must be to be taken for a slip of it


class UnexpectedValueError(Exception):
    """A value that its field does not allow.

    Attributes
    ----------
    expected : str
        What is allowed, in words.
    value : object
        What was found.
    """

    def __init__(self, expected: str, value: object) -> None:
        super().__init__(f"expected {expected}, found {value!r}")
        self.expected = expected
        self.value = value


def nearest(name: str, known: Iterable[str]) -> str | None:
    """Return the known word that is most like the given one, or None if none is like it."""
    near = difflib.get_close_matches(name, list(known), 1, _NEAR)
    return near[0] if near else None


def read_value(value: Any, hint: Any, metadata: Mapping[str, Any]) -> Any:
    """Read a value as its field's type and metadata say.

    Parameters
    ----------
    value : object
        As HCL holds it.
    hint : type
        The field's type: bool, int, float, str, or any of them or None.
    metadata : mapping
        What `spec` noted of the field: kind, low, high, among.

    Raises
    ------
    UnexpectedValueError
        Where the field does not allow it.
    """
    kind = metadata.get("kind")
    reader = _READERS_BY_KIND.get(kind) if kind else _READERS_BY_TYPE.get(_without_none(hint))
    read = reader(value) if reader is not None else value
    _check_bounds(read, metadata)
    _check_word(read, metadata)
    return read


def _without_none(hint: Any) -> Any:
    bare = [argument for argument in typing.get_args(hint) if argument is not type(None)]
    return bare[0] if isinstance(hint, types.UnionType) and bare else hint


def _read_time(value: Any) -> float:
    """Return seconds."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)", value) if isinstance(value, str) else None
    if found is None:
        raise UnexpectedValueError(_A_TIME, value)
    return float(found[1]) * _UNIT_FACTORS[found[2]] / _UNIT_DIVISORS.get(found[2], 1.0)


def _read_size(value: Any) -> int:
    """Return bytes."""
    found = re.fullmatch(r"(\d+)(B|KiB|MiB|GiB|)", str(value))
    if found is None or isinstance(value, bool):
        raise UnexpectedValueError(_A_SIZE, value)
    return int(found[1]) * _SIZE_FACTORS[found[2]]


def _read_address(value: Any) -> str:
    found = re.fullmatch(r"([0-9.]+|localhost):(\d{1,5})", value) if isinstance(value, str) else None
    if found is None or int(found[2]) > _MAX_PORT:
        raise UnexpectedValueError(_AN_ADDRESS, value)
    return str(value)


def _read_bool(value: Any) -> bool:
    if not isinstance(value, bool):
        raise UnexpectedValueError(_A_BOOL, value)
    return value


def _read_int(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise UnexpectedValueError(_A_WHOLE_NUMBER, value)
    return value


def _read_float(value: Any) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise UnexpectedValueError(_A_NUMBER, value)
    return float(value)


def _read_str(value: Any) -> str:
    if not isinstance(value, str):
        raise UnexpectedValueError(_A_TEXT, value)
    return value


_READERS_BY_KIND: dict[str, Callable[[Any], Any]] = {
    "time": _read_time,
    "size": _read_size,
    "address": _read_address,
}
_READERS_BY_TYPE: dict[Any, Callable[[Any], Any]] = {
    bool: _read_bool,
    int: _read_int,
    float: _read_float,
    str: _read_str,
}


def _check_bounds(value: Any, metadata: Mapping[str, Any]) -> None:
    low, high = metadata.get("low"), metadata.get("high")
    is_low = low is not None and value < low
    is_high = high is not None and value > high
    if is_low or is_high:
        raise UnexpectedValueError(_bounds_in_words(low, high), value)


def _bounds_in_words(low: float | None, high: float | None) -> str:
    if low is None:
        return f"at most {high:g}"
    if high is None:
        return f"at least {low:g}"
    return f"from {low:g} to {high:g}"


def _check_word(value: Any, metadata: Mapping[str, Any]) -> None:
    among = metadata.get("among") or ()
    if not among or value in among:
        return
    near = nearest(str(value), among)
    advice = f" (did you mean {near!r}?)" if near else ""
    expected = f"one of {', '.join(among)}{advice}"
    raise UnexpectedValueError(expected, value)
