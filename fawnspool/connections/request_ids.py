"""The ids of requests that must not run twice: known from their start until no attempt of theirs can run any more.

A client that left may send its request again while an attempt of the first one still runs, or has run. Such a request
is not sent to a node. The ids take bounded memory: while there is room for no further id, requests that must not run
twice are refused before any attempt, which is harmless.

Times are seconds of the caller's monotonic clock; there is no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

MEMORY_MARGIN_S = 1.0  # after the last moment at which an attempt may run, for clients that come back then


class IdVerdict(Enum):
    """Whether a request may be sent, by its id."""

    NEW = "new"
    KNOWN = "known"  # an attempt of an earlier request with this id may have run
    NO_ROOM = "no room"  # the id could not be remembered


class RequestIds:
    """The ids that are in use, and those that are remembered after their requests.

    Parameters
    ----------
    max_ids
        Number of ids in use and remembered.
    """

    def __init__(self, max_ids: int) -> None:
        self.max_ids = max_ids
        self._in_use: set[bytes] = set()
        self._until: OrderedDict[bytes, float] = OrderedDict()  # of requests whose clients got no answer
        self._answered_until: OrderedDict[bytes, float] = OrderedDict()  # of the others, which are forgotten first

    def __len__(self) -> int:
        return len(self._in_use) + len(self._until) + len(self._answered_until)

    def begin(self, request_id: bytes, now: float) -> IdVerdict:
        """Return whether a request with this id may be sent; a new id is in use until `end`."""
        self._forget(now)
        if request_id in self._in_use or request_id in self._until or request_id in self._answered_until:
            return IdVerdict.KNOWN
        if len(self) >= self.max_ids and self._answered_until:
            self._answered_until.popitem(last=False)
        if len(self) >= self.max_ids:
            return IdVerdict.NO_ROOM
        self._in_use.add(request_id)
        return IdVerdict.NEW

    def end(self, request_id: bytes, may_run_until: float | None, is_answered: bool) -> None:
        """End the use of an id, and remember it if the request may have run.

        Parameters
        ----------
        request_id
            An id in use.
        may_run_until
            The last moment at which an attempt may run; None: none has run, and none will.
        is_answered
            The client got the request's answer.
        """
        self._in_use.discard(request_id)
        if may_run_until is None:
            return
        remembered = self._answered_until if is_answered else self._until
        remembered[request_id] = may_run_until + MEMORY_MARGIN_S

    def _forget(self, now: float) -> None:
        """Forget ids whose time is over, oldest first; one that lies behind a longer one is forgotten with it."""
        for remembered in (self._until, self._answered_until):
            while remembered and next(iter(remembered.values())) <= now:
                remembered.popitem(last=False)
