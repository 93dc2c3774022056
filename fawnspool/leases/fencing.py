"""Where effects happen: a place (a node, the map service) takes a step of a duty only under the newest token it has
seen.

The lease alone is never the safety: a holder may be stopped between its look at the clock and its step. What the
fence can't do: a place that has seen no step under the newer token yet takes an older one. So a new holder first
shows its token to every place that it will touch (`raise`), and touches none that has not taken it. Two lives with
one token can only come of voters that forgot or differ; then the first life that a place saw has it there.
"""

from __future__ import annotations

from collections.abc import Iterable

DUTIES_MOST = 4096  # names one place remembers: it may not forget any, so it takes no more


class Fenced(Exception):
    """A place has seen a newer token, or another life with this one. newest: its token."""

    def __init__(self, duty: str, newest: int) -> None:
        super().__init__(f"{duty}: a newer holder has been here, with token {newest}")
        self.duty, self.newest = duty, newest


class Fence:
    """Of one place. `rows` as they were kept: duty, token, who."""

    def __init__(self, rows: Iterable[tuple[str, int, int]] = ()) -> None:
        self.seen: dict[str, tuple[int, int]] = {}
        for duty, token, who in rows:
            if (token, who) > self.seen.get(duty, (0, 0)):
                self.seen[duty] = (token, who)

    def passes(self, duty: str, token: int, who: int) -> bool:
        """Is this the newest, so that the caller must keep a row before it does the step? Raises Fenced; ValueError
        for a duty beyond the bound."""
        had, life = self.seen.get(duty, (0, 0))
        if token < had or (token == had and who != life):
            raise Fenced(duty, had)
        if token == had:
            return False
        if duty not in self.seen and len(self.seen) >= DUTIES_MOST:
            raise ValueError(f"over {DUTIES_MOST} duties")
        self.seen[duty] = (token, who)
        return True
