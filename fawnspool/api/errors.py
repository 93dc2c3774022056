"""Errors that the object API returns to its clients."""

from __future__ import annotations


class ApiError(Exception):
    """A request that the object API cannot carry out.

    Parameters
    ----------
    status
        HTTP status of the answer.
    code
        Short error code, for programs.
    reason
        Description of the error, for people.
    """

    def __init__(self, status: int, code: str, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.code = code
        self.reason = reason


class BadRequestError(ApiError):
    """The request is malformed."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(400, code, reason)


class NotFoundError(ApiError):
    """The request's target does not exist."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(404, code, reason)


class NoSuchObjectError(NotFoundError):
    """The volume has no such object."""

    def __init__(self, volume: str, key: str) -> None:
        super().__init__("no-such-object", f"volume {volume!r} has no object {key!r}")


class MethodNotAllowedError(ApiError):
    """The target does not support this method."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(405, code, reason)


class UnavailableError(ApiError):
    """The request had no effect; a later retry may be served."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(503, code, reason)
