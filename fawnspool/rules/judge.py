"""The seven rules, judged on the history of a run.

Times are compared with an allowance for scheduling noise: `BASE_ALLOWANCE_S` and the worst lateness that any process of
the run measured of its own timers, `MAX_ALLOWANCE_S` in all. A run noisier than that is not judged well, and its
verdict says so: the allowance never grows to fit what was seen of the rules themselves.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fawnspool.rules.answers import check_answered_once
from fawnspool.rules.attempt_budget import check_attempts_in_budget
from fawnspool.rules.cold_starts import check_cold_nodes_spared
from fawnspool.rules.draining import check_drains_kept
from fawnspool.rules.effects import check_no_effect_twice
from fawnspool.rules.findings import Finding, RuleCheck
from fawnspool.rules.history import History
from fawnspool.rules.rate_limits import check_limits_kept
from fawnspool.rules.request_order import check_order_kept
from fawnspool.rules.terms import RuleTerms

BASE_ALLOWANCE_S = 0.005  # what two processes on one idle machine take to hear of each other
MAX_ALLOWANCE_S = 0.060

# The names are those of reports and of the command line.
RULES: dict[str, Callable[[RuleCheck, RuleTerms, float], None]] = {
    "answered once": check_answered_once,
    "no effect twice": check_no_effect_twice,
    "drains kept": check_drains_kept,
    "cold nodes spared": check_cold_nodes_spared,
    "order kept": check_order_kept,
    "attempts in budget": check_attempts_in_budget,
    "limits kept": check_limits_kept,
}


@dataclass
class RunVerdict:
    """What was found of each rule on a run.

    Attributes
    ----------
    allowance_s
        How much noise was excused.
    too_noisy
        Whether the run's noise exceeded what may be excused.
    wrong_bytes
        Number of answers with bytes that are not what was stored.
    """

    findings: list[Finding]
    allowance_s: float
    too_noisy: bool
    wrong_bytes: int

    @property
    def kept(self) -> bool:
        """Whether no rule was broken and no answer had wrong bytes."""
        return not self.wrong_bytes and not any(finding.breaches for finding in self.findings)


def judge_run(history: History, terms: RuleTerms) -> RunVerdict:
    """Judge all seven rules."""
    noise_s = BASE_ALLOWANCE_S + history.max_timer_lag_s
    allowance_s = min(MAX_ALLOWANCE_S, noise_s)
    findings = []
    for name, check_rule in RULES.items():
        check = RuleCheck(name, history)
        check_rule(check, terms, allowance_s)
        findings.append(check.finding)
    return RunVerdict(findings, allowance_s, noise_s > MAX_ALLOWANCE_S, history.wrong_answers)
