"""Errors that the object API answers its clients with."""

from __future__ import annotations


class ApiError(Exception):
    """A request that can't be carried out.

    Parameters
    ----------
    status
        HTTP status of the answer.
    code
        The error in one word, for programs.
    reason
        The error in a sentence, for people.
    """

    def __init__(self, status: int, code: str, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.code = code
        self.reason = reason


class BadRequestError(ApiError):
    """The request does not read."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(400, code, reason)


class NotFoundError(ApiError):
    """There is nothing at the request's target."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(404, code, reason)


class NoSuchObjectError(NotFoundError):
    """The volume holds no such object."""

    def __init__(self, volume: str, key: str) -> None:
        super().__init__("no-such-object", f"volume {volume!r} holds no {key!r}")


class MethodNotAllowedError(ApiError):
    """The target does not take this method."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(405, code, reason)


class UnavailableError(ApiError):
    """Nothing was done for the request; a later one may be served."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(503, code, reason)
