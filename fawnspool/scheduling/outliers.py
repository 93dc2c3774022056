"""Outlier detection: when a node is ejected, and when a request may try it again."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fawnspool.scheduling.interface import Outcome, Result

FAILURES_TO_EJECT = 3  # consecutive failures without an answer; a lossy path causes single ones only
SILENCE_MEAN_RESPONSES = 3.0  # multiple of the mean response; a node silent for a shorter time may be just slow
HALF_OPEN_MAX_BACKOFF_S = 1.0  # bounds the time until a recovered node is noticed
HALF_OPEN_MAX_DOUBLINGS = 8
HALF_OPEN_MIN_JITTER = 0.8  # the backoff is multiplied by a random factor between this and 1


def is_failure(outcome: Outcome, is_silent: bool) -> bool:
    """Return whether an attempt's outcome counts as a failure of its node.

    A reset of a reused connection does not count: a path that drops idle connections drops many at once, and the next
    connection, which is new, shows the node's state. A timeout counts only if the node has been silent since the send.
    """
    if outcome.result in (Result.CONNECT_FAILED, Result.RESET):
        return not outcome.reused_connection
    return is_silent


def max_silence_s(least_objective_s: float, mean_response_s: float) -> float:
    """Return for how long a node with requests in flight may be silent before that counts as failures."""
    return SILENCE_MEAN_RESPONSES * max(least_objective_s / 2, mean_response_s)


def min_evidence_s(check_interval_s: float, mean_response_s: float) -> float:
    """Return how long an attempt must have waited for its timeout to show anything about its node."""
    return min(check_interval_s, SILENCE_MEAN_RESPONSES * mean_response_s)


@dataclass(slots=True)
class NodeHealth:
    """The consecutive failures of one node.

    Attributes
    ----------
    failures : int
        Failures in a row, without an answer between them.
    last_answer_at : float
        The time from which the node's silence is measured: its last answer, a send after an idle time, or the last
        counted failure, so that one silence is not counted again at each check.
    next_trial_at : float
        While the node is ejected: when one request may be sent to it as a trial.
    refused_connection : bool
        The node has refused a connection since its last answer.
    failing_since : float
        When the current or last series of failures began.
    """

    failures: int = 0
    last_answer_at: float = 0.0
    next_trial_at: float = 0.0
    refused_connection: bool = False
    failing_since: float = 0.0

    def is_ejected(self) -> bool:
        """Return whether the node is ejected, so that only trials may be sent to it."""
        return self.failures >= FAILURES_TO_EJECT

    def reset(self, now: float) -> None:
        """Clear the failures, as another node serves the shard."""
        self.failures = 0
        self.refused_connection = False
        self.last_answer_at = now

    def record_failures(self, count: int, now: float, connect_timeout_s: float, random: Random) -> None:
        """Count failures; an ejected node's next trial is due after a backoff that doubles with each failure."""
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
        """Record that the node refused a connection, so that it may be restarting."""
        self.refused_connection = True

    def record_first_send(self, now: float) -> None:
        """Measure the node's silence from now on, as nothing was in flight there before."""
        self.last_answer_at = now

    def schedule_trial(self, at: float) -> None:
        """Set the time of the next trial, which the caller chose."""
        self.next_trial_at = at

    def record_answer(self, now: float) -> None:
        """Clear all failures."""
        self.last_answer_at = now
        self.failures = 0
        self.refused_connection = False
