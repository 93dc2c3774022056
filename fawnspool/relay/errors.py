"""Errors in what the platform gives a gateway: its configuration and its list of nodes."""

from __future__ import annotations

from fawnspool.gateway.watch_client import MalformedUpdateError


class ConfigError(Exception):
    """The configuration can't be used.

    Parameters
    ----------
    path
        Of the file.
    problem
        The place in the file, and what was expected there.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")


class NoDescriptorLeftError(ConfigError):
    """This process has no file descriptor left to read the configuration with."""


class IncompleteConfigError(ConfigError):
    """The file is not there, or not to its end: it may just be written."""


class NotJsonError(MalformedUpdateError):
    """The list is not JSON."""

    def __init__(self, error: ValueError) -> None:
        super().__init__(f"not JSON: {error}")


class NotAnObjectError(MalformedUpdateError):
    """The list is another kind of JSON value."""

    def __init__(self) -> None:
        super().__init__("expected an object")


class UnexpectedFieldError(MalformedUpdateError):
    """A field of the list has a value that it can't have."""

    def __init__(self, field: str, expected: str) -> None:
        super().__init__(f"{field}: expected {expected}")


class OutdatedListError(MalformedUpdateError):
    """A list that is older than the one held."""

    def __init__(self, received: int, current: int) -> None:
        super().__init__(f"a list of {received}, older than {current}")
