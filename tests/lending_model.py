"""Bounded model checking of the transfers of rate limit units between gateways, on the code of `rate_limits.py`.

    python -m tests.lending_model [GATEWAYS] [STEPS] [REQUESTS]

A state consists of each gateway's bucket (level, units lent recently), the datagrams in flight, and a reference bucket
for the whole fleet. Steps: 0.2 s pass; a gateway requests units from the others; a datagram arrives, at any later time
or never; a gateway spends all its units; a gateway restarts without state. In every state, the units of all gateways
plus those in flight that would still be credited must not exceed the level of the reference bucket.
"""

from __future__ import annotations

import shutil
import sys
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from fawnspool.model import versions
from fawnspool.scheduling.admission import make_pending
from fawnspool.scheduling.interface import PeerMessage, Request, SendPeerMessage
from fawnspool.scheduling.transfer_messages import TransferKind, TransferMessage
from tests.conftest import make_class, make_plan, make_settings

SCHEDULING = Path(__file__).parent.parent / "fawnspool" / "scheduling"
RATE, DEPTH, AIM, STEP, UNIT = 10.0, 18.0, 0.4, 0.2, 1e-6
VOLUME = 7
Bucket = tuple[float, tuple[tuple[float, float], ...]]  # level; times and units of grants
Datagram = tuple[int, int, bytes]  # sender, receiver, body
State = tuple[
    int, tuple[Bucket, ...], tuple[Datagram, ...], float, int, int
]  # step, buckets, datagrams, reference level, requests, restarts

MISTAKES: dict[str, tuple[str, str]] = {
    "a lender does not deduct the units it lends": ("        limiter.tokens -= units\n", ""),
    "lent units can be refilled at once": ("        limiter.granted.append((now, units))\n", ""),
    "late grants are credited": (
        "if message.age_ms(now) >= self._transfer_window_s * 1000 * TRANSFER_VALIDITY_FRACTION:",
        "if False:",
    ),
    "a grant is valid for longer than the transfer window": (
        "self._transfer_window_s * 1000 * TRANSFER_VALIDITY_FRACTION",
        "self._transfer_window_s * 2000",
    ),
    "a borrower exceeds its bucket": (
        "        limiter.tokens += message.units\n        self.refill(limiter, now)\n",
        "        limiter.tokens += 2 * message.units\n",
    ),
    "more units are lent than are spare": (
        "units = min(message.units, max(MIN_GRANT_UNITS, spare_units / 2))",
        "units = message.units",
    ),
    "a gateway starts with a full bucket": (
        "refilled_at=self.recorded_since, served_at=now",
        "refilled_at=self.recorded_since - 99, served_at=now",
    ),
    "grants are forgotten early": (
        "self.granted[0][0] <= now - transfer_window_s",
        "self.granted[0][0] <= now - transfer_window_s / 4",
    ),
}


def load_scheduler(mistake: str = "") -> versions.Policy:
    """Load a separate copy of the scheduler, with one mistake inserted in the text of `rate_limits.py`."""
    text = (SCHEDULING / "rate_limits.py").read_text()
    if mistake:
        original, replacement = MISTAKES[mistake]
        assert text.count(original) == 1, mistake
        text = text.replace(original, replacement)
    with TemporaryDirectory() as folder:
        shutil.copy(SCHEDULING / "scheduler.py", folder)
        (Path(folder) / "rate_limits.py").write_text(text)
        scheduler_class, _ = versions.load(str(Path(folder) / "scheduler.py"))
    return scheduler_class


class Fleet:
    """Gateways whose buckets are set before each step and read after it."""

    def __init__(self, gateways: int, mistake: str = "") -> None:
        scheduler_class = load_scheduler(mistake)
        plan = make_plan(rate_limit=RATE, rate_limit_burst=DEPTH, rate_limit_tolerance=0.0)
        self.gateways = [
            scheduler_class(
                make_settings(
                    plans=(plan,),
                    classes=(make_class(latency_objective_s=AIM),),
                    gateway_count=gateways,
                    gateway_id=index,
                    has_peer_messages=True,
                ),
                index,
            )
            for index in range(gateways)
        ]
        self.now = 100.0
        for index in range(gateways):
            self._begin(index)

    def _begin(self, index: int) -> Any:
        """Create the volume's limiter as a new gateway does; the request that causes it is not kept."""
        limits = self.gateways[index].rate_limits
        limits.recorded_since = self.now
        limits.limiters.clear()
        request = Request(1, 0, 0, 0, 1.0, VOLUME, 1.0, 0, len(self.gateways), False, False)
        return limits.limiter(make_pending(request, self.gateways[index].settings, self.now), self.now)

    def set_bucket(self, index: int, bucket: Bucket) -> Any:
        limiter = self.gateways[index].rate_limits.limiters[VOLUME]
        limiter.tokens, limiter.granted = bucket[0], deque(bucket[1])
        limiter.refilled_at = self.now
        limiter.queued_units = limiter.served_units_per_s = limiter.requested_at = 0.0
        limiter.lenders.clear()
        return limiter

    def read_bucket(self, index: int) -> Bucket:
        limiter = self.gateways[index].rate_limits.limiters[VOLUME]
        return round(limiter.tokens, 6), tuple(limiter.granted)

    # ------------------------------------------------------------ steps

    def advance_time(self, state: State) -> State:
        buckets = []
        for index, bucket in enumerate(state[1]):
            limiter = self.set_bucket(index, bucket)
            self.gateways[index].rate_limits.refill(limiter, self.now + STEP)
            buckets.append(self.read_bucket(index))
        return (
            state[0] + 1,
            tuple(buckets),
            state[2],
            round(min(DEPTH, state[3] + RATE * STEP), 6),
            state[4],
            state[5],
        )

    def request_units(self, state: State, index: int) -> State:
        limiter = self.set_bucket(index, state[1][index])
        limiter.queued_units = DEPTH
        messages = self.gateways[index].rate_limits.request_units(VOLUME, limiter, self.now)
        sent = [
            (index, receiver, message.body)
            for message in messages
            for receiver in range(len(self.gateways))
            if receiver != index and message.gateway_id in (None, receiver)
        ]
        return state[0], state[1], tuple(sorted((*state[2], *sent))), state[3], state[4] + 1, state[5]

    def deliver(self, state: State, position: int) -> State:
        sender, receiver, body = state[2][position]
        rest = state[2][:position] + state[2][position + 1 :]
        self.set_bucket(receiver, state[1][receiver])
        actions = self.gateways[receiver].handle(self.now, PeerMessage(sender, body))
        sent = [
            (receiver, action.gateway_id, action.body)
            for action in actions
            if isinstance(action, SendPeerMessage) and action.gateway_id is not None
        ]
        buckets = (*state[1][:receiver], self.read_bucket(receiver), *state[1][receiver + 1 :])
        return state[0], buckets, tuple(sorted((*rest, *sent))), state[3], state[4], state[5]

    def spend_all(self, state: State, index: int) -> State:
        level = state[1][index][0]
        buckets = (*state[1][:index], (0.0, state[1][index][1]), *state[1][index + 1 :])
        return state[0], buckets, state[2], round(state[3] - level, 6), state[4], state[5]

    def restart(self, state: State, index: int) -> State:
        limiter = self._begin(index)
        self.gateways[index].rate_limits.refill(limiter, self.now)
        return (
            state[0],
            (*state[1][:index], self.read_bucket(index), *state[1][index + 1 :]),
            state[2],
            state[3],
            state[4],
            state[5] + 1,
        )

    def successors(self, state: State, steps: int, requests: int, restarts: int) -> Iterator[State]:
        self.now = 100.0 + state[0] * STEP
        if state[0] < steps:
            yield self.advance_time(state)
        for position in range(len(state[2])):
            if position == 0 or state[2][position] != state[2][position - 1]:
                yield self.deliver(state, position)
        for index in range(len(state[1])):
            if state[4] < requests and len(state[2]) < 3:
                yield self.request_units(state, index)
            if state[1][index][0] > UNIT:
                yield self.spend_all(state, index)
            if state[5] < restarts:
                yield self.restart(state, index)

    def violation(self, state: State) -> str:
        in_flight = 0.0
        for _, _, body in state[2]:
            message = TransferMessage.decode(body)
            assert message is not None
            age_ms = int((100.0 + state[0] * STEP) * 1000) - message.requested_at_ms
            in_flight += message.units if message.kind == TransferKind.GRANT and age_ms < AIM * 950 else 0.0
        total = sum(level for level, _ in state[1]) + in_flight
        return (
            "" if total <= state[3] + 1e-3 else f"step {state[0]}: gateways have {total:.3f}, the limit {state[3]:.3f}"
        )


def explore(
    gateways: int = 2,
    steps: int = 4,
    requests: int = 2,
    restarts: int = 1,
    mistake: str = "",
    max_states: int = 200_000,
) -> tuple[int, str]:
    """Explore the states; return the number of states seen and the first violation."""
    fleet = Fleet(gateways, mistake)
    first: State = (0, tuple((DEPTH / gateways, ()) for _ in range(gateways)), (), DEPTH, 0, 0)
    seen, queue = {first}, deque([first])
    while queue and len(seen) < max_states:
        state = queue.popleft()
        for successor in fleet.successors(state, steps, requests, restarts):
            if successor in seen:
                continue
            seen.add(successor)
            if text := fleet.violation(successor):
                return len(seen), text
            queue.append(successor)
    return len(seen), ""


def main() -> None:
    numbers = [int(argument) for argument in sys.argv[1:]]
    gateways, steps, requests = numbers + [2, 4, 2][len(numbers) :]
    states, text = explore(gateways, steps, requests, max_states=2_000_000)
    bounds = f"{gateways} gateways, {steps} steps, {requests} requests for units, one restart"
    print(f"{bounds}: {states} states, {text or 'no violation'}")
    for mistake in MISTAKES:
        states, text = explore(gateways, steps, requests, mistake=mistake, max_states=2_000_000)
        print(f"  {mistake}: {text or 'NOT FOUND'} ({states} states)", flush=True)


if __name__ == "__main__":
    main()
