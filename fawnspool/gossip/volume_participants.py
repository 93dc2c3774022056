"""Who takes part in a volume, and how much it is used: each head says it of itself to the volume's keepers, and asks
them who else does when it lacks something that others may have.

Nothing is granted here. A word that is lost, late, doubled or wrong makes a head ask the wrong ones for a while.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random

from fawnspool.gossip.grow_only_counter import Count, Interval, Mark
from fawnspool.gossip.messages import CountRow, Kind, Message, rows_of
from fawnspool.gossip.terms import ROWS_A_LOOK, Terms
from fawnspool.scheduling.interface import VolumeParticipants

VOLUMES_MOST = 4096  # in each table; those that nothing was heard of for the longest go
HERE_S = 8.0  # seconds between two words that a head takes part, where they all find room
FLOW_S = 0.5  # seconds over which a flow is smoothed: a surge is seen within, one request is none
WANT_S = 2.0  # seconds between two questions to a lacking volume's keepers; an eighth: nobody is known
LACKS_S = 1.0  # seconds for which a volume counts as lacking since it was last said to
NAMED = 6  # other heads that a keeper names in one answer


@dataclass(frozen=True, slots=True)
class Say:
    to: int
    message: Message


Out = Say | VolumeParticipants


@dataclass(slots=True)
class _Volume:
    """One that this head takes part in. used: units served in this life; flow: units a second asked here, smoothed;
    lacks: when it last lacked something; said, wanted: when keepers were last told of it, and asked."""

    takers: int
    rate: float
    burst: float
    used: float = 0.0
    flow: float = 0.0
    at: float = 0.0
    said: float = float("-inf")
    wanted: float = float("-inf")
    lacks: float = float("-inf")
    count: Count = field(default_factory=Count)


class Table:
    """Of one head. `life` rises with each start."""

    def __init__(self, terms: Terms, me: int, life: int, seed: int) -> None:
        self.terms, self.me, self.life, self.random = terms, me, life & 0xFFFFFFFF, Random(f"{seed}-{life}-takers")
        self.mine: OrderedDict[int, _Volume] = OrderedDict()  # the longest unsaid first
        self.kept: OrderedDict[int, Count] = OrderedDict()  # as a keeper
        self.lacking: OrderedDict[int, None] = OrderedDict()
        self.answers = 0  # given since the last look

    def asked(self, now: float, volume: int, takers: int, rate: float, burst: float, units: float) -> None:
        """Units of a volume are asked for at this head, one of `takers`; rate, burst: of the volume's limit."""
        v = self._volume(volume, takers, rate, burst)
        v.flow = v.flow * math.exp((v.at - now) / FLOW_S) + units / FLOW_S
        v.at = now
        if v.flow > v.rate / v.takers:
            v.lacks = now
            self.lacking[volume] = None

    def used(self, volume: int, units: float) -> None:
        """They were served."""
        if (v := self.mine.get(volume)) is not None:
            v.used += units

    def _volume(self, volume: int, takers: int, rate: float, burst: float) -> _Volume:
        v = self.mine.get(volume)
        if v is None:
            while len(self.mine) >= VOLUMES_MOST:
                self.lacking.pop(self.mine.popitem(last=False)[0], None)
            v = self.mine[volume] = _Volume(takers, rate, burst)
            self.mine.move_to_end(volume, last=False)  # the keepers are told at the next look
        v.takers = max(v.takers, takers)
        return v

    # ------------------------------------------------------------ hearing

    def hear(self, now: float, sender: int, m: Message) -> list[Out]:
        if m.kind is Kind.HEADS:
            return self._named(now, m)
        out = list[CountRow]()
        for r in m.rows:
            if not isinstance(r, CountRow) or r.head != sender or self.me not in self.terms.keepers(r.volume):
                continue
            count = self._keep(now, r)
            if m.kind is Kind.WANT and self.answers < ROWS_A_LOOK:
                self.answers += 1
                others = [lives[0] for h, lives in count.marks.items() if h != sender]
                out += [self._row(now, r.volume, x) for x in self.random.sample(others, min(NAMED, len(others)))]
        return self._say(sender, Kind.HEADS, out)

    def _keep(self, now: float, r: CountRow) -> Count:
        count = self.kept.setdefault(r.volume, Count())
        self.kept.move_to_end(r.volume)
        while len(self.kept) > VOLUMES_MOST:
            self.kept.popitem(last=False)
        count.merge([Mark(r.head, r.life, r.value, now - r.age)])
        return count

    def _named(self, now: float, m: Message) -> list[Out]:
        out: dict[int, set[int]] = {}
        for r in m.rows:
            if isinstance(r, CountRow) and r.head != self.me and r.head < self.terms.heads and r.volume in self.mine:
                v = self.mine[r.volume]
                v.count.merge([Mark(r.head, r.life, r.value, now - r.age)])
                out[r.volume] = set(v.count.marks)
        return [VolumeParticipants(volume, tuple(sorted(heads))) for volume, heads in out.items()]

    def _row(self, now: float, volume: int, x: Mark) -> CountRow:
        return CountRow(volume, x.head, x.life, x.value, now - x.at)

    def _say(self, to: int, kind: Kind, rows: list[CountRow]) -> list[Out]:
        size = rows_of(kind)
        return [Say(to, Message(kind, self.terms.mark, tuple(rows[k : k + size]))) for k in range(0, len(rows), size)]

    # ------------------------------------------------------------ time

    def look(self, now: float) -> list[Out]:
        """What it says of its own accord: first of volumes that lack, then of those that were not spoken of for the
        longest, as many as a look may hold."""
        rows: dict[tuple[int, Kind], list[CountRow]] = {}
        named: dict[int, set[int]] = {}
        room, self.answers = ROWS_A_LOOK, 0
        self.lacking = OrderedDict((k, None) for k in self.lacking if now - self.mine[k].lacks < LACKS_S)
        for volume in list(self.lacking):
            v = self.mine[volume]
            if v.count.marks:
                named[volume] = set(v.count.marks)  # said again: whoever asks them forgets those that had nothing
            if room > ROWS_A_LOOK // 2 and now - v.wanted >= (WANT_S if v.count.marks else WANT_S / 8):
                self.lacking.move_to_end(volume)
                v.wanted = now
                room -= self._about(now, volume, Kind.WANT, rows, named)
        while room > 0 and self.mine:
            volume, v = next(iter(self.mine.items()))
            if now - v.said < HERE_S:
                break
            room -= self._about(now, volume, Kind.HERE, rows, named)
        out: list[Out] = [VolumeParticipants(volume, tuple(sorted(heads))) for volume, heads in named.items()]
        for (to, kind), some in rows.items():
            out += self._say(to, kind, some)
        return out

    def _about(
        self,
        now: float,
        volume: int,
        kind: Kind,
        rows: dict[tuple[int, Kind], list[CountRow]],
        named: dict[int, set[int]],
    ) -> int:
        v = self.mine[volume]
        v.said = now
        self.mine.move_to_end(volume)
        row = CountRow(volume, self.me, self.life, v.used, 0.0)
        for keeper in self.terms.keepers(volume):
            if keeper != self.me:
                rows.setdefault((keeper, kind), []).append(row)
                continue
            count = self._keep(now, row)
            if kind is Kind.WANT and len(count.marks) > 1:
                v.count.merge(x for lives in count.marks.values() for x in lives if x.head != self.me)
                named[volume] = set(v.count.marks)
        return 1

    # ------------------------------------------------------------ seeing into it

    def read(self, now: float, volume: int) -> Interval | None:
        """Units that the fleet has sent of it, as far as this head knows."""
        v = self.mine.get(volume)
        if v is None:
            return None
        whole = Count(dict(v.count.marks))  # marks are never changed, only replaced
        whole.merge([Mark(self.me, self.life, v.used, now)])
        return whole.read(now, v.takers, v.rate, v.burst)
