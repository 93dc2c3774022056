"""Errors in a gateway's configuration and in the endpoint list of the platform's discovery service."""

from __future__ import annotations

from fawnspool.gateway.watch_client import MalformedUpdateError


class ConfigError(Exception):
    """The configuration is invalid or can't be read.

    Parameters
    ----------
    path
        Path of the configuration file.
    problem
        The position in the file, and what was expected there.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")


class NoDescriptorLeftError(ConfigError):
    """This process has no file descriptor left for reading the configuration."""


class IncompleteConfigError(ConfigError):
    """The file is missing or incomplete, possibly because it is being written."""


class NotJsonError(MalformedUpdateError):
    """The list is not valid JSON."""

    def __init__(self, error: ValueError) -> None:
        super().__init__(f"invalid JSON: {error}")


class NotAnObjectError(MalformedUpdateError):
    """The list is a JSON value other than an object."""

    def __init__(self) -> None:
        super().__init__("expected a JSON object")


class UnexpectedFieldError(MalformedUpdateError):
    """A field of the list has an invalid value."""

    def __init__(self, field: str, expected: str) -> None:
        super().__init__(f"{field}: expected {expected}")


class OutdatedListError(MalformedUpdateError):
    """The message is a snapshot that is older than the current list."""

    def __init__(self, received: int, current: int) -> None:
        super().__init__(f"received list version {received}, which is older than the current version {current}")
