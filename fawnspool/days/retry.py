"""Whether and when a scripted client tries again: one account for clients on sockets and in the model."""

from __future__ import annotations

from random import Random

from fawnspool.config.head import ClassBlock
from fawnspool.days.day import LoadBlock

END_MARGIN = 0.05  # seconds before its deadline in which a client begins no further try


def pause_before_next(
    load: LoadBlock, cls: ClassBlock, how: str, tries: int, elapsed: float, advice: float, random: Random
) -> float | None:
    """Seconds to wait before the next try; None: that was the last. how: the end of the last try; tries: so far;
    elapsed: seconds since the first; advice: the head's Retry-After in seconds, 0: none.

    Safe requests go again after any end but a served one, keyed ones whose repeats all nodes drop likewise; others only
    after a refusal or where no head was reached, as all else may have run."""
    if how in ("served", "left") or tries > load.retries:
        return None
    never = how in ("refused", "unreached")
    if not (never or cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all")):
        return None
    pause = max(advice, load.backoff * random.uniform(0.5, 1.5))
    return None if elapsed + pause >= cls.deadline - END_MARGIN else pause
