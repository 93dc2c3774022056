"""File work in the background: one thread, in the order given.

A greenlet that waits for a disk stops every greenlet of its process, and a disk that writes back can hold one `write`
for a tenth of a second. So a gateway hands its recording, its saved endpoint list, its map and its traces to this
thread. What waits is bounded: a disk that never comes back must not fill the memory.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

MAX_PENDING_BYTES = 64 << 20
CLOSE_TIMEOUT_S = 5.0

Work = Callable[[], object]


class _PendingWork(NamedTuple):
    work: Work
    size: int


class BackgroundWriter:
    """One thread that runs work in order.

    Work handles its own errors. If it raises all the same, the error is kept for `take_error` and the next work runs.

    Parameters
    ----------
    max_pending_bytes
        Size of the work that may wait.

    Attributes
    ----------
    pending_bytes
        Size of the work that was handed over and is not done yet.
    """

    def __init__(self, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        self.max_pending_bytes = max_pending_bytes
        self.pending_bytes = 0
        self._error: str | None = None
        self._queue: deque[_PendingWork] = deque()
        self._ready = threading.Condition()
        self._closed = False
        self._thread = threading.Thread(target=self._run, name="background-writer", daemon=True)
        self._thread.start()

    def put(self, work: Work, size: int = 0) -> bool:
        """Hand over work that holds `size` bytes.

        Work of no size is always accepted, as closing a file must come after what is written to it; so is work of any
        size if nothing waits before it.

        Returns
        -------
        bool
            False if it is not accepted, as too much waits or the thread was closed: it will not be run.
        """
        with self._ready:
            if self._closed or self._is_too_much(size):
                return False
            self._queue.append(_PendingWork(work, size))
            self.pending_bytes += size
            self._ready.notify()
        return True

    def _is_too_much(self, size: int) -> bool:
        if not size or not self.pending_bytes:
            return False
        return self.pending_bytes + size > self.max_pending_bytes

    def take_error(self) -> str | None:
        """Return the last error that work raised since the last call, or None."""
        error = self._error
        self._error = None
        return error

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> bool:
        """End after the work that waits; False if it is not all done within `timeout_s` seconds."""
        with self._ready:
            self._closed = True
            self._ready.notify()
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while (pending := self._next()) is not None:
            try:
                pending.work()
            except Exception as error:
                self._error = f"{type(error).__name__}: {error}"
            with self._ready:
                self.pending_bytes -= pending.size

    def _next(self) -> _PendingWork | None:
        """Wait for work; None if there is none left and the thread was closed."""
        with self._ready:
            while not self._queue:
                if self._closed:
                    return None
                self._ready.wait()
            return self._queue.popleft()
