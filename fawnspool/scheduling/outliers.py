"""Outlier detection: when a node is ejected, and when a request may try it again."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fawnspool.scheduling.interface import Outcome, Result

FAILURES_TO_EJECT = 3  # in a row with no answer between: a lossy path shows single ones only
SILENCE_MEAN_RESPONSES = 3.0  # without any answer, in mean responses: slow is not dead
HALF_OPEN_MAX_BACKOFF_S = 1.0  # a recovered node is found within
HALF_OPEN_MAX_DOUBLINGS = 8
HALF_OPEN_MIN_JITTER = 0.8  # part of the backoff that is kept at least


def is_failure(outcome: Outcome, is_silent: bool) -> bool:
    """Return whether an attempt's end speaks against its node.

    A reset of a reused connection doesn't: a path that cuts idle connections cuts many at once, and the next one,
    which is new, shows what the node does. A time-out does only where nothing was heard of the node since the send.
    """
    if outcome.result in (Result.CONNECT_FAILED, Result.RESET):
        return not outcome.reused_connection
    return is_silent


def max_silence_s(least_objective_s: float, mean_response_s: float) -> float:
    """Return for how long a node with requests in flight may be silent."""
    return SILENCE_MEAN_RESPONSES * max(least_objective_s / 2, mean_response_s)


@dataclass(slots=True)
class NodeHealth:
    """What speaks against one node.

    Attributes
    ----------
    failures : int
        In a row, with no answer between.
    last_answer_at : float
        From when its silence counts: its last answer, a send after an idle time, or the last failure that was counted,
        so that one silence is not counted again at each check.
    next_trial_at : float
        While it is ejected: when one request may try it.
    refused_connection : bool
        It took no connection since it last answered.
    failing_since : float
        When it last began to fail.
    """

    failures: int = 0
    last_answer_at: float = 0.0
    next_trial_at: float = 0.0
    refused_connection: bool = False
    failing_since: float = 0.0

    def is_ejected(self) -> bool:
        """Return whether only trials may go to the node."""
        return self.failures >= FAILURES_TO_EJECT

    def reset(self, now: float) -> None:
        """Start anew: another node serves the shard."""
        self.failures = 0
        self.refused_connection = False
        self.last_answer_at = now

    def record_failures(self, count: int, now: float, connect_timeout_s: float, random: Random) -> None:
        """Count failures; an ejected node's next trial comes after a backoff that doubles with each."""
        if not self.failures:
            self.failing_since = now
        self.failures += count
        self.last_answer_at = now
        if not self.is_ejected():
            return
        doublings = min(self.failures - FAILURES_TO_EJECT, HALF_OPEN_MAX_DOUBLINGS)
        backoff_s = min(HALF_OPEN_MAX_BACKOFF_S, connect_timeout_s * 2.0**doublings)
        self.next_trial_at = now + backoff_s * random.uniform(HALF_OPEN_MIN_JITTER, 1.0)

    def record_refused_connection(self) -> None:
        """Note that it took no connection, so that it may be restarting."""
        self.refused_connection = True

    def record_first_send(self, now: float) -> None:
        """Let its silence begin now, as nothing was in flight there before."""
        self.last_answer_at = now

    def schedule_trial(self, at: float) -> None:
        """Let the next trial come at a time that others drew."""
        self.next_trial_at = at

    def record_answer(self, now: float) -> None:
        """Forget all failures."""
        self.last_answer_at = now
        self.failures = 0
        self.refused_connection = False
