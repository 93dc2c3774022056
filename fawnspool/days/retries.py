"""Whether and when a scripted client tries again: one account for clients on sockets and in the model."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fawnspool.config.head import ClassBlock
from fawnspool.days.day import LoadBlock

DEADLINE_MARGIN_S = 0.05  # a client begins no further attempt so shortly before its deadline
MIN_JITTER = 0.5
MAX_JITTER = 1.5
NEVER_RUN_ENDS = ("refused", "unreached")
LAST_ENDS = ("served", "left")


@dataclass(frozen=True)
class EndedAttempt:
    """A client's attempt that has ended.

    Attributes
    ----------
    how
        Its end, as recordings name it.
    attempts
        Attempts at the operation so far, this one included.
    elapsed_s
        Time since the first began.
    retry_after_s
        What the gateway asked the client to wait; 0 for nothing.
    """

    how: str
    attempts: int
    elapsed_s: float
    retry_after_s: float


def pause_before_retry(
    load: LoadBlock, request_class: ClassBlock, attempt: EndedAttempt, random: Random
) -> float | None:
    """Return the seconds to wait before the next attempt, or None where there is none.

    Idempotent requests are tried again after any end but a served one, as are those with a key whose repeats all nodes
    drop; others only after a refusal or where no gateway was reached, as all else may have run.
    """
    if attempt.how in LAST_ENDS or attempt.attempts > load.retries:
        return None
    if attempt.how not in NEVER_RUN_ENDS and not _may_repeat(request_class):
        return None
    backoff_s = load.backoff * random.uniform(MIN_JITTER, MAX_JITTER)
    pause_s = max(attempt.retry_after_s, backoff_s)
    if attempt.elapsed_s + pause_s >= request_class.deadline - DEADLINE_MARGIN_S:
        return None
    return pause_s


def _may_repeat(request_class: ClassBlock) -> bool:
    return request_class.effect == "safe" or (request_class.effect == "keyed" and request_class.group == "all")
