"""File work done behind the program's back: one thread, in the order given.

A greenlet that waits for a disk stops every greenlet of its process, and a disk that writes back can hold one
`write` for a tenth of a second. So a head hands its recording, its saved list and its spans to this thread.
What waits is bounded: a disk that never comes back must not fill the memory.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable

MOST = 64 << 20  # bytes that may wait


class BackgroundWriter:
    """One thread that runs what it is given, first come, first run. Work says itself what to do with its errors;
    one that raises all the same is kept in `error` and the next runs."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.waits = 0  # bytes handed over and not yet done
        self.error = ""
        self._work: deque[tuple[Callable[[], None], int]] = deque()
        self._ready = threading.Condition()
        self._ended = False
        self._thread = threading.Thread(target=self._run, name="behind", daemon=True)
        self._thread.start()

    def put(self, work: Callable[[], None], size: int = 0) -> bool:
        """Hand over work that holds `size` bytes. False where it no longer fits or the thread has ended: nothing
        of it will be run. Work of no size always fits, as closing a file must come after what is written to it."""
        with self._ready:
            if self._ended or (size and self.waits and self.waits + size > self.most):
                return False
            self._work.append((work, size))
            self.waits += size
            self._ready.notify()
        return True

    def failed(self) -> str:
        """The last error that work raised since this was last asked; "": none."""
        error, self.error = self.error, ""
        return error

    def close(self, wait: float = 5.0) -> bool:
        """End after what waits, for at most `wait` seconds. False: it is not all done."""
        with self._ready:
            self._ended = True
            self._ready.notify()
        self._thread.join(wait)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while True:
            with self._ready:
                while not self._work:
                    if self._ended:
                        return
                    self._ready.wait()
                work, size = self._work.popleft()
            try:
                work()
            except Exception as bad:
                self.error = f"{type(bad).__name__}: {bad}"
            with self._ready:
                self.waits -= size
