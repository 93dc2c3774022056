"""All interleavings of lending units of a limit, within bounds, on the module's own code.

    python -m tests.lending_model [GATEWAYS] [STEPS] [ASKINGS]

A state is each gateway's bucket (level, units lent of late), what is on its way, and one bucket that sees the whole
fleet. Steps: 0.2 s pass; a gateway asks the others; a datagram arrives, at any later time or never; a gateway spends
all it has; a gateway restarts without memory. In every state what gateways have, and what is on its way and would
still be counted, is no more than the one bucket holds.
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
Bucket = tuple[float, tuple[tuple[float, float], ...]]  # level; when lent, units
Datagram = tuple[int, int, bytes]  # from, to, body
State = tuple[
    int, tuple[Bucket, ...], tuple[Datagram, ...], float, int, int
]  # step, gateways, ways, all, asked, restarts

MISTAKES: dict[str, tuple[str, str]] = {
    "a lender keeps what it lends": ("        limiter.tokens -= units\n", ""),
    "what was lent may be filled up at once": ("        limiter.granted.append((now, units))\n", ""),
    "late units count": (
        "if message.age_ms(now) >= self._transfer_window_s * 1000 * TRANSFER_VALIDITY_FRACTION:",
        "if False:",
    ),
    "units count twice as long as they are kept": (
        "self._transfer_window_s * 1000 * TRANSFER_VALIDITY_FRACTION",
        "self._transfer_window_s * 2000",
    ),
    "a borrower heaps up": (
        "        limiter.tokens += message.units\n        self.refill(limiter, now)\n",
        "        limiter.tokens += 2 * message.units\n",
    ),
    "more is lent than there is": (
        "units = min(message.units, max(MIN_GRANT_UNITS, spare_units / 2))",
        "units = message.units",
    ),
    "a gateway that starts has a full part": (
        "refilled_at=self.recorded_since, served_at=now",
        "refilled_at=self.recorded_since - 99, served_at=now",
    ),
    "what was lent is forgotten early": (
        "self.granted[0][0] <= now - transfer_window_s",
        "self.granted[0][0] <= now - transfer_window_s / 4",
    ),
}


def policy(mistake: str = "") -> versions.Policy:
    """The scheduler's class, of modules of its own, with one mistake in the text of `rate_limits.py`."""
    text = (SCHEDULING / "rate_limits.py").read_text()
    if mistake:
        right, wrong = MISTAKES[mistake]
        assert text.count(right) == 1, mistake
        text = text.replace(right, wrong)
    with TemporaryDirectory() as folder:
        shutil.copy(SCHEDULING / "scheduler.py", folder)
        (Path(folder) / "rate_limits.py").write_text(text)
        made, _ = versions.load(str(Path(folder) / "scheduler.py"))
    return made


class Fleet:
    """Heads whose state is put in and taken out again."""

    def __init__(self, gateways: int, mistake: str = "") -> None:
        made = policy(mistake)
        plan = make_plan(rate_limit=RATE, rate_limit_burst=DEPTH, rate_limit_tolerance=0.0)
        self.gateways = [
            made(
                make_settings(
                    plans=(plan,),
                    classes=(make_class(latency_objective_s=AIM),),
                    gateway_count=gateways,
                    gateway_id=k,
                    has_peer_messages=True,
                ),
                k,
            )
            for k in range(gateways)
        ]
        self.now = 100.0
        for k in range(gateways):
            self._begin(k)

    def _begin(self, k: int) -> Any:
        """The module's own first sight of the volume; its request is forgotten."""
        limits = self.gateways[k].rate_limits
        limits.recorded_since = self.now
        limits.limiters.clear()
        request = Request(1, 0, 0, 0, 1.0, VOLUME, 1.0, 0, len(self.gateways), False, False)
        return limits.limiter(make_pending(request, self.gateways[k].settings, self.now), self.now)

    def put(self, k: int, bucket: Bucket) -> Any:
        limiter = self.gateways[k].rate_limits.limiters[VOLUME]
        limiter.tokens, limiter.granted = bucket[0], deque(bucket[1])
        limiter.refilled_at = self.now
        limiter.queued_units = limiter.served_units_per_s = limiter.requested_at = 0.0
        limiter.lenders.clear()
        return limiter

    def take(self, k: int) -> Bucket:
        limiter = self.gateways[k].rate_limits.limiters[VOLUME]
        return round(limiter.tokens, 6), tuple(limiter.granted)

    # ------------------------------------------------------------ steps

    def passes(self, s: State) -> State:
        gateways = []
        for k, bucket in enumerate(s[1]):
            limiter = self.put(k, bucket)
            self.gateways[k].rate_limits.refill(limiter, self.now + STEP)
            gateways.append(self.take(k))
        return s[0] + 1, tuple(gateways), s[2], round(min(DEPTH, s[3] + RATE * STEP), 6), s[4], s[5]

    def asks(self, s: State, k: int) -> State:
        limiter = self.put(k, s[1][k])
        limiter.queued_units = DEPTH
        requests = self.gateways[k].rate_limits.request_units(VOLUME, limiter, self.now)
        ways = [
            (k, to, message.body)
            for message in requests
            for to in range(len(self.gateways))
            if to != k and message.gateway_id in (None, to)
        ]
        return s[0], s[1], tuple(sorted((*s[2], *ways))), s[3], s[4] + 1, s[5]

    def arrives(self, s: State, n: int) -> State:
        sender, to, body = s[2][n]
        rest = s[2][:n] + s[2][n + 1 :]
        self.put(to, s[1][to])
        actions = self.gateways[to].handle(self.now, PeerMessage(sender, body))
        ways = [
            (to, action.gateway_id, action.body)
            for action in actions
            if isinstance(action, SendPeerMessage) and action.gateway_id is not None
        ]
        gateways = (*s[1][:to], self.take(to), *s[1][to + 1 :])
        return s[0], gateways, tuple(sorted((*rest, *ways))), s[3], s[4], s[5]

    def spends(self, s: State, k: int) -> State:
        level = s[1][k][0]
        gateways = (*s[1][:k], (0.0, s[1][k][1]), *s[1][k + 1 :])
        return s[0], gateways, s[2], round(s[3] - level, 6), s[4], s[5]

    def restarts(self, s: State, k: int) -> State:
        limiter = self._begin(k)
        self.gateways[k].rate_limits.refill(limiter, self.now)
        return s[0], (*s[1][:k], self.take(k), *s[1][k + 1 :]), s[2], s[3], s[4], s[5] + 1

    def after(self, s: State, steps: int, askings: int, restarts: int) -> Iterator[State]:
        self.now = 100.0 + s[0] * STEP
        if s[0] < steps:
            yield self.passes(s)
        for n in range(len(s[2])):
            if n == 0 or s[2][n] != s[2][n - 1]:
                yield self.arrives(s, n)
        for k in range(len(s[1])):
            if s[4] < askings and len(s[2]) < 3:
                yield self.asks(s, k)
            if s[1][k][0] > UNIT:
                yield self.spends(s, k)
            if s[5] < restarts:
                yield self.restarts(s, k)

    def wrong(self, s: State) -> str:
        on_way = 0.0
        for _, _, body in s[2]:
            message = TransferMessage.decode(body)
            assert message is not None
            late = int((100.0 + s[0] * STEP) * 1000) - message.requested_at_ms
            on_way += message.units if message.kind == TransferKind.GRANT and late < AIM * 950 else 0.0
        has = sum(level for level, _ in s[1]) + on_way
        return "" if has <= s[3] + 1e-3 else f"step {s[0]}: gateways have {has:.3f}, the limit {s[3]:.3f}"


def walk(
    gateways: int = 2, steps: int = 4, askings: int = 2, restarts: int = 1, mistake: str = "", most: int = 200_000
) -> tuple[int, str]:
    """(states seen, what was wrong first)."""
    fleet = Fleet(gateways, mistake)
    first: State = (0, tuple((DEPTH / gateways, ()) for _ in range(gateways)), (), DEPTH, 0, 0)
    seen, queue = {first}, deque([first])
    while queue and len(seen) < most:
        state = queue.popleft()
        for s in fleet.after(state, steps, askings, restarts):
            if s in seen:
                continue
            seen.add(s)
            if text := fleet.wrong(s):
                return len(seen), text
            queue.append(s)
    return len(seen), ""


def main() -> None:
    numbers = [int(x) for x in sys.argv[1:]]
    gateways, steps, askings = numbers + [2, 4, 2][len(numbers) :]
    states, text = walk(gateways, steps, askings, most=2_000_000)
    bounds = f"{gateways} gateways, {steps} steps, {askings} askings, one restart"
    print(f"{bounds}: {states} states, {text or 'nothing wrong'}")
    for mistake in MISTAKES:
        states, text = walk(gateways, steps, askings, mistake=mistake, most=2_000_000)
        print(f"  {mistake}: {text or 'NOT FOUND'} ({states} states)", flush=True)


if __name__ == "__main__":
    main()
