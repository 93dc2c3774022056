"""The tokens of the scheduler's timers: what a `Timer` event is about."""

from __future__ import annotations

CHECK_TOKEN = 0  # the check of all queues
POLL_TOKEN = 2**63  # a repeated poll of the endpoint list; other tokens are 1 + a request's id
_FIRST_REQUEST_TOKEN = 1


def expiry_token(request_id: int) -> int:
    """Return the token of the timer that ends a queued request."""
    return _FIRST_REQUEST_TOKEN + request_id


def request_of_token(token: int) -> int | None:
    """Return the request that a timer is about, or None."""
    if token in (CHECK_TOKEN, POLL_TOKEN):
        return None
    return token - _FIRST_REQUEST_TOKEN
