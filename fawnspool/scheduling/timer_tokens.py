"""The tokens of the scheduler's timers, which identify the purpose of a `Timer` event."""

from __future__ import annotations

CHECK_TOKEN = 0  # the check of all queues
POLL_TOKEN = 2**63  # a retried poll of the endpoint list; all other tokens are 1 + a request's id
_FIRST_REQUEST_TOKEN = 1


def expiry_token(request_id: int) -> int:
    """Return the token of the timer that expires a queued request."""
    return _FIRST_REQUEST_TOKEN + request_id


def request_of_token(token: int) -> int | None:
    """Return the id of the request that a timer expires, or None for other timers."""
    if token in (CHECK_TOKEN, POLL_TOKEN):
        return None
    return token - _FIRST_REQUEST_TOKEN
