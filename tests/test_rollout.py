"""Staged roll-out: batches within what may be lost, and verdicts on versions that are well, worse, or broken."""

from __future__ import annotations

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.rollout.confidence_sequence import ConfidenceSequence, normal_quantile
from fawnspool.rollout.controller import Decision, RolloutController, RolloutVerdict, Window
from fawnspool.rollout.limits import PlanError, RolloutLimits
from fawnspool.rollout.plan import Batch, GatewayInfo, plan_batches, restart_rounds, windows_needed

SPREAD = 0.03


def fleet(heads: int, zones: int = 3, per: int = 2) -> list[GatewayInfo]:
    """Volume k is heard by heads k, k+1, ... (per of them)."""
    return [GatewayInfo(h, h % zones, tuple((f"v{(h - m) % heads}", per) for m in range(per))) for h in range(heads)]


def started(
    heads: int = 20, bound: RolloutLimits | None = None, spread: float = SPREAD
) -> tuple[RolloutController, RolloutLimits]:
    bound = bound or RolloutLimits()
    return RolloutController(plan_batches(fleet(heads), bound, spread, 1), bound, spread), bound


def drive(
    r: RolloutController,
    rng: np.random.Generator,
    loss: float,
    surge_loss: float = 0.0,
    surges: bool = True,
    spread: float = SPREAD,
    most: int = 3000,
    drift: float = 0.0,
) -> tuple[Decision, int]:
    """Play windows until an end: upgraded heads earn less by `loss`, and by `surge_loss` more in every fifth window,
    a surge in which all earn less."""
    levels = {h: 0.9 + 0.05 * rng.standard_normal() for h in r.fleet}
    for k in range(most):
        surge = surges and k % 5 == 4
        shares = {
            h: levels[h]
            - drift * k
            - 0.2 * surge
            + spread * rng.standard_normal()
            - (loss + surge_loss * surge if h in r.upgraded else 0.0)
            for h in r.fleet
        }
        got = r.observe(Window(shares, 2.0 if surge else 1.0))
        if got.verdict in (RolloutVerdict.DONE, RolloutVerdict.ROLL_BACK):
            return got, k
        if got.verdict is RolloutVerdict.CONTINUE:
            r.begin_batch()
    return got, most


# ---------------------------------------------------------------- plans


def test_a_plan_takes_every_head_once_and_starts_small() -> None:
    batches = plan_batches(fleet(190), RolloutLimits(), SPREAD, 1)
    assert sorted(h for b in batches for h in b.gateways) == list(range(190))
    assert len(batches[0].gateways) <= 0.25 * 190 and len(batches) >= 3
    sizes = [len(b.gateways) for b in batches]
    done = 0
    for k, size in enumerate(sizes):
        assert k == 0 or size <= max(2 * done, 1)
        done += size


def test_the_first_batch_risks_at_most_half_of_what_may_be_lost() -> None:
    for spend in (0.002, 0.01, 0.05):
        bound = RolloutLimits(max_spend=spend)
        first = plan_batches(fleet(100), bound, SPREAD, 1)[0]
        assert first.risk_gateway_s == pytest.approx(len(first.gateways) * first.min_windows * bound.window_s)
        assert first.risk_gateway_s <= spend * 100 * bound.spend_period_s / 2


def test_more_to_lose_means_larger_first_batches_and_noise_means_longer_watches() -> None:
    sizes = [
        len(plan_batches(fleet(100), RolloutLimits(max_spend=s), SPREAD, 1)[0].gateways) for s in (0.003, 0.01, 0.03)
    ]
    assert sizes == sorted(sizes) and sizes[0] < sizes[-1]
    watches = [windows_needed(RolloutLimits(), s, 5) for s in (0.01, 0.05, 0.1)]
    assert watches == sorted(watches) and watches[0] < watches[-1] <= RolloutLimits().max_windows
    assert windows_needed(RolloutLimits(), 0.05, 20) < windows_needed(RolloutLimits(), 0.05, 2)


def test_no_round_takes_all_heads_of_a_volume_nor_too_many_at_once() -> None:
    for heads, per in ((10, 2), (30, 3), (190, 2)):
        of = fleet(heads, per=per)
        bound = RolloutLimits(max_spend=0.05)
        for batch in plan_batches(of, bound, SPREAD, 3):
            for some in batch.rounds:
                assert len(some) <= max(1, int(bound.max_restarting * heads))
                heard = [{v for v, _ in of[h].volumes} for h in some]
                for v in set().union(*heard):
                    assert sum(v in x for x in heard) < per
            assert sorted(h for some in batch.rounds for h in some) == sorted(batch.gateways)


def test_a_volume_with_one_head_may_lose_it_for_a_round() -> None:
    assert restart_rounds([GatewayInfo(1, 0, (("only", 1),))], 3) == ((1,),)


def test_batches_spread_over_zones() -> None:
    first = plan_batches(fleet(30, zones=3), RolloutLimits(max_spend=0.05), SPREAD, 1)[0]
    zones = [h % 3 for h in first.gateways]
    assert max(zones.count(z) for z in range(3)) - min(zones.count(z) for z in range(3)) <= 1


@pytest.mark.parametrize(
    "given_,text",
    [
        ({"max_loss": 0.0}, "loss"),
        ({"max_spend": 2.0}, "spend"),
        ({"confidence": 0.3}, "level"),
        ({"window_s": 0.0}, "window"),
        ({"min_windows": 5, "max_windows": 3}, "windows"),
        ({"surge_load": 1.0}, "surge_at"),
    ],
)
def test_a_bound_without_sense_is_named(given_: dict[str, float], text: str) -> None:
    with pytest.raises(PlanError, match=text):
        plan_batches(fleet(10), RolloutLimits(**given_), SPREAD, 1)  # type: ignore[arg-type]


def test_fleets_that_cannot_be_rolled_out_are_refused() -> None:
    with pytest.raises(PlanError, match="two or more"):
        plan_batches(fleet(1), RolloutLimits(), SPREAD, 1)
    with pytest.raises(PlanError, match="twice"):
        plan_batches([GatewayInfo(1), GatewayInfo(1)], RolloutLimits(), SPREAD, 1)
    with pytest.raises(PlanError, match="raise spend"):
        plan_batches(fleet(4), RolloutLimits(max_spend=0.0001, spend_period_s=60.0), SPREAD, 1)
    with pytest.raises(PlanError, match="spread"):
        plan_batches(fleet(4), RolloutLimits(), 0.0, 1)


@given(st.integers(2, 60), st.integers(1, 4), st.floats(0.002, 0.2), st.floats(0.02, 0.2))
def test_any_fleet_is_planned_whole_or_refused(heads: int, per: int, spread: float, spend: float) -> None:
    of = fleet(heads, per=min(per, heads))
    try:
        batches = plan_batches(of, RolloutLimits(max_spend=spend), spread, heads)
    except PlanError:
        return
    assert sorted(h for b in batches for h in b.gateways) == list(range(heads))
    assert batches[0].risk_gateway_s <= spend * heads * RolloutLimits().spend_period_s
    assert len(batches[0].gateways) <= max(1, heads // 2)


def test_the_same_seed_gives_the_same_plan_and_another_seed_another() -> None:
    assert plan_batches(fleet(40), RolloutLimits(), SPREAD, 1) == plan_batches(fleet(40), RolloutLimits(), SPREAD, 1)
    assert plan_batches(fleet(40), RolloutLimits(), SPREAD, 1) != plan_batches(fleet(40), RolloutLimits(), SPREAD, 2)


# ---------------------------------------------------------------- the sequence


def test_the_normal_quantile() -> None:
    assert normal_quantile(0.975) == pytest.approx(1.96, abs=1e-3) and normal_quantile(0.5) == pytest.approx(
        0.0, abs=1e-6
    )


@pytest.mark.parametrize("usual", [1.0, 0.5])
def test_bounds_hold_at_all_times_together(usual: float) -> None:
    """400 sequences looked at after each of 200 windows: the true mean leaves the bounds of 5% at most, also where
    twice as much noise is seen as was expected (which the first windows can't know: a little more)."""
    rng = np.random.default_rng(3)
    left = 0
    for _ in range(400):
        s = ConfidenceSequence(0.05, 10)
        for x in rng.normal(0.0, 1.0, 200):
            s.add(float(x))
            _, low, high = s.estimate(usual)
            if not low <= 0 <= high:
                left += 1
                break
    assert left <= (20 if usual == 1.0 else 40)


def test_bounds_narrow_and_few_equal_windows_do_not_make_sure() -> None:
    s = ConfidenceSequence(0.05, 10)
    s.add(0.5)
    assert s.estimate(0.1)[2] == float("inf")
    widths = []
    for _ in range(50):
        s.add(0.5)
        widths.append(s.estimate(0.1)[2] - s.estimate(0.1)[1])
    assert widths == sorted(widths, reverse=True) and widths[0] > 0.1 and widths[-1] < 0.2


# ---------------------------------------------------------------- verdicts


def test_an_equal_version_goes_through_the_whole_fleet() -> None:
    done = 0
    for k in range(20):
        r, _ = started()
        got, _ = drive(r, np.random.default_rng(k), 0.0)
        done += got.verdict is RolloutVerdict.DONE and r.upgraded == r.fleet
    assert done >= 18


def test_a_better_version_goes_through() -> None:
    r, _ = started()
    assert drive(r, np.random.default_rng(1), -0.03)[0].verdict is RolloutVerdict.DONE


def test_a_version_worse_by_a_little_is_found_before_half_the_fleet_has_it() -> None:
    found = early = 0
    for k in range(20):
        r, _ = started()
        got, _ = drive(r, np.random.default_rng(100 + k), 0.05)
        found += got.verdict is RolloutVerdict.ROLL_BACK
        early += len(r.upgraded) <= len(r.fleet) / 2
    assert found >= 19 and early >= 18


def test_a_version_worse_within_the_bound_may_pass_but_never_one_twice_the_bound() -> None:
    passed = 0
    for k in range(20):
        r, _ = started()
        got, _ = drive(r, np.random.default_rng(200 + k), 2 * RolloutLimits().max_loss)
        passed += got.verdict is RolloutVerdict.DONE
    assert passed <= 1


def test_a_version_worse_only_under_a_surge_is_found_in_the_share_that_may_run_unseen() -> None:
    found = 0
    for k in range(20):
        r, _ = started()
        got, _ = drive(r, np.random.default_rng(300 + k), 0.0, surge_loss=0.3)
        found += got.verdict is RolloutVerdict.ROLL_BACK and "surge" in got.why
        assert len(r.upgraded) <= len(r.fleet) / 2
    assert found >= 18


def test_without_a_surge_it_waits_at_the_unseen_share_and_then_goes_on() -> None:
    bound = RolloutLimits(min_windows=6, max_windows=40)
    r, _ = started(bound=bound)
    rng, waits, first = np.random.default_rng(4), 0, 0
    for _ in range(400):
        got = r.observe(Window({h: 0.9 + 0.01 * rng.standard_normal() for h in r.fleet}))
        if "no surge" in got.why:
            waits += 1
            first = first or len(r.upgraded)
        if got.verdict is RolloutVerdict.CONTINUE:
            r.begin_batch()
        if got.verdict is RolloutVerdict.DONE:
            break
    assert got.verdict is RolloutVerdict.DONE and waits > 10
    assert first == bound.max_without_surge * len(r.fleet)


def test_a_load_that_grows_over_the_day_is_not_the_versions_doing() -> None:
    done = 0
    for k in range(10):
        r, _ = started()
        done += drive(r, np.random.default_rng(400 + k), 0.0, drift=0.0005)[0].verdict is RolloutVerdict.DONE
    assert done >= 9


def begun() -> RolloutController:
    r, _ = started()
    shares = dict.fromkeys(r.fleet, 0.9)
    while r.observe(Window(shares)).verdict is not RolloutVerdict.CONTINUE:
        pass
    assert r.begin_batch() is not None
    return r


def test_a_broken_rule_of_an_upgraded_head_sends_back_at_once_and_for_good() -> None:
    r = begun()
    bad = next(iter(r.upgraded))
    got = r.observe(Window(dict.fromkeys(r.fleet, 0.9), broken={bad: "no effect twice: op 3"}))
    assert got.verdict is RolloutVerdict.ROLL_BACK and f"head {bad}" in got.why and "twice" in got.why
    assert r.observe(Window(dict.fromkeys(r.fleet, 0.9))) is got and r.begin_batch() is None


def test_a_rule_that_other_heads_break_too_is_no_sign() -> None:
    r = begun()
    bad, other = next(iter(r.upgraded)), next(h for h in r.fleet if h not in r.upgraded)
    both = {bad: "answered once: a", other: "answered once: b"}
    assert r.observe(Window(dict.fromkeys(r.fleet, 0.9), broken=both)).verdict is RolloutVerdict.WAIT
    another = {bad: "order kept: a", other: "answered once: b"}
    assert r.observe(Window(dict.fromkeys(r.fleet, 0.9), broken=another)).verdict is RolloutVerdict.ROLL_BACK


def test_a_module_that_raises_or_a_head_that_is_silent_sends_back() -> None:
    r = begun()
    bad = next(iter(r.upgraded))
    got = r.observe(Window(dict.fromkeys(r.fleet, 0.9), raised={bad: 2}))
    assert got.verdict is RolloutVerdict.ROLL_BACK and "raised 2 times" in got.why
    r = begun()
    bad = next(iter(r.upgraded))
    got = r.observe(Window({h: 0.9 for h in r.fleet if h != bad}, missing=frozenset({bad})))
    assert got.verdict is RolloutVerdict.ROLL_BACK and "do not report" in got.why
    r = begun()
    bad = next(iter(r.upgraded))
    restarting = Window({h: 0.9 for h in r.fleet if h != bad}, missing=frozenset({bad}), away=frozenset({bad}))
    assert r.observe(restarting).verdict is RolloutVerdict.WAIT


def test_a_heads_first_seconds_count_neither_way() -> None:
    r = begun()
    awful = {h: 0.0 if h in r.upgraded else 0.9 for h in r.fleet}
    young = dict.fromkeys(r.upgraded, r.limits.warm_up_s - 0.1)
    for _ in range(5):
        assert r.observe(Window(awful, up=young)).calm is None
    assert r.observe(Window(awful, up=dict.fromkeys(r.upgraded, r.limits.warm_up_s))).calm is not None


def test_nothing_is_decided_while_heads_restart() -> None:
    r = begun()
    awful = {h: 0.0 if h in r.upgraded else 0.9 for h in r.fleet}
    for _ in range(5):
        got = r.observe(Window(awful, away=frozenset(r.upgraded)))
        assert got.verdict is RolloutVerdict.WAIT and got.calm is None


def test_a_catastrophe_is_stopped_by_what_may_be_lost() -> None:
    r = begun()
    awful = {h: 0.0 if h in r.upgraded else 0.9 for h in r.fleet}
    n = 0
    while (got := r.observe(Window(awful))).verdict is not RolloutVerdict.ROLL_BACK and n < 200:
        n += 1
    assert got.verdict is RolloutVerdict.ROLL_BACK
    assert (
        0.9 * len(r.upgraded) * n * r.limits.window_s <= r.budget_gateway_s + 0.9 * len(r.upgraded) * r.limits.window_s
    )


def test_what_cannot_be_shown_goes_back() -> None:
    bound = RolloutLimits(min_windows=6, max_windows=12)
    r, _ = started(bound=bound)
    got, _ = drive(r, np.random.default_rng(5), 0.0, spread=0.4)
    assert got.verdict is RolloutVerdict.ROLL_BACK and "not shown" in got.why


def test_a_window_without_requests_shows_nothing() -> None:
    r = begun()
    got = r.observe(Window({}))
    assert got.verdict is RolloutVerdict.WAIT and got.calm is None


def test_state_does_not_grow_with_time() -> None:
    r = begun()
    sizes = set()
    rng = np.random.default_rng(6)
    for k in range(300):
        r.observe(Window({h: 0.5 + 0.3 * rng.standard_normal() for h in r.fleet}))
        if k > 10:
            sizes.add((len(r.usual), len(r.baseline), len(vars(r.calm))))
    assert len(sizes) == 1


def test_batches_made_by_hand_work_too() -> None:
    r = RolloutController(
        [Batch((1,), ((1,),), 3, 1.0), Batch((2, 3), ((2,), (3,)), 3, 1.0)],
        RolloutLimits(min_windows=3, max_windows=60),
        0.01,
    )
    rng = np.random.default_rng(8)
    for _ in range(200):
        got = r.observe(Window({h: 0.9 + 0.005 * rng.standard_normal() for h in (1, 2, 3)}))
        if got.verdict is RolloutVerdict.CONTINUE:
            r.begin_batch()
        if got.verdict is RolloutVerdict.DONE:
            break
    assert got.verdict is RolloutVerdict.DONE
