"""What clients ask on a day: drawn ahead from the day and a seed, the same whatever answers them.

Each purpose draws from a generator of its own, so that a change of one leaves the others' draws alone. Times are
seconds from the day's start.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import inf, prod
from random import Random

from fawnspool.days.day import Day, TrafficBlock, TroubleBlock, VolumesBlock

DEFAULT_OBJECT_BYTES = 65536
MIN_OBJECT_BYTES = 64
MIN_SIZE_FACTOR = 0.3
MAX_SIZE_FACTOR = 1.7
MIN_VOLUME_RATE_FACTOR = 0.6
MAX_VOLUME_RATE_FACTOR = 1.4
MIN_PATIENCE_S = 0.05
MIN_STAY_S = 0.01  # of a client that goes before it has its answer
RUN_SPACING_S = 0.004
MAX_RANGE_START = 0.5  # of an object
MIN_RANGE_LENGTH = 0.1
MAX_RANGE_LENGTH = 0.5
RATE_FAULTS = ("burst", "plan_burst", "hot_volumes")


@dataclass(frozen=True)
class Operation:
    """What a client wants, over all its attempts.

    Attributes
    ----------
    at
        When its first attempt begins.
    cls
        Index of its request class.
    key
        Of a write, or of a read of an object held from the start; empty for a read of a recently written one.
    pick
        A draw in 0..1 with which a read finds its object.
    part
        Of the object, where a ranged read begins and how much it takes; None for all.
    run
        Requests of one run share it; empty for none.
    patience
        Seconds that its first attempt waits.
    heads
        Gateways in the order in which it tries them.
    leaves
        Seconds after which its client goes; infinite for never.
    """

    name: str
    at: float
    volume: str
    cls: int
    writes: bool
    key: str
    size: int
    pick: float
    part: tuple[float, float] | None
    run: str
    patience: float
    heads: tuple[int, ...]
    leaves: float


def held_objects(day: Day, seed: int) -> Iterator[tuple[str, str, int, int]]:
    """Yield volume, key, size in bytes and shard of each object that volumes hold from the start."""
    random = Random(f"{seed}-held")
    sizes = [stream.size for stream in day.traffic if not stream.writes] or [DEFAULT_OBJECT_BYTES]
    for volume, block in day.volume_names():
        shards = random.sample(range(day.day.nodes), block.nodes)
        for index in range(day.load.objects):
            size = max(MIN_OBJECT_BYTES, _draw_size(random.choice(sizes), random))
            yield volume, _held_key(index), min(size, _max_object_bytes(day)), shards[index % len(shards)]


def draw_operations(day: Day, seed: int) -> list[Operation]:
    """Return all operations of the day, in order of time."""
    return _TrafficScript(day, seed).draw_day()


def _held_key(index: int) -> str:
    return f"held/{index}"


def _draw_size(mean: int, random: Random) -> int:
    return int(mean * random.uniform(MIN_SIZE_FACTOR, MAX_SIZE_FACTOR))


def _max_object_bytes(day: Day) -> int:
    return day.units.bytes * day.units.largest


@dataclass(frozen=True)
class _Client:
    """What the operations of a run have in common."""

    at: float
    volume: str
    stream: TrafficBlock
    gateways: tuple[int, ...]
    patience_s: float
    leaves_s: float
    is_scan: bool
    reads_fresh: bool
    held_key: str
    run: str


class _TrafficScript:
    """Draws a day's operations. The order of the draws is part of what a seed means."""

    def __init__(self, day: Day, seed: int) -> None:
        self._day = day
        self._seed = seed
        self._arrivals = Random(f"{seed}-arrivals")
        self._picks = Random(f"{seed}-picks")
        self._leads = Random(f"{seed}-leads")
        self._volumes = day.volume_names()
        self._classes = [block.name for block in day.class_]
        plans = {plan.name: plan for plan in day.plan}
        self._usual_rates = {
            name: plans[block.name].rate * self._picks.uniform(MIN_VOLUME_RATE_FACTOR, MAX_VOLUME_RATE_FACTOR)
            for name, block in self._volumes
        }
        self._gateways = {
            name: tuple(self._leads.sample(range(day.day.heads), block.heads)) for name, block in self._volumes
        }
        self._hot_volumes = {
            trouble.name: self._draw_hot_volumes(trouble) for trouble in day.trouble if trouble.kind == "hot_volumes"
        }
        self._operations: list[Operation] = []

    def draw_day(self) -> list[Operation]:
        """Draw arrivals at the day's highest rate, and thin them to the rate of each moment."""
        day = self._day
        peak = _rate_factor(day, lambda trouble: trouble.kind in RATE_FAULTS, lambda trouble: max(1.0, trouble.size))
        shares = sum(stream.share for stream in day.traffic)
        mean_run = sum(stream.share * (1 + stream.run) / 2 for stream in day.traffic) / shares
        usual_rate = sum(self._usual_rates.values())
        time = 0.0
        while True:
            time += self._arrivals.expovariate(day.load.rate * peak / mean_run)
            if time >= day.day.length:
                return self._operations
            rates = [self._usual_rates[name] * self._volume_factor(name, block, time) for name, block in self._volumes]
            if self._arrivals.random() * peak <= sum(rates) / usual_rate * self._burst_factor(time):
                self._draw_run(time, rates)

    def _draw_hot_volumes(self, trouble: TroubleBlock) -> set[str]:
        names = [name for name, _ in self._volumes]
        count = max(1, round(trouble.part * len(names)))
        return set(Random(f"{self._seed}-{trouble.name}").sample(names, count))

    def _burst_factor(self, time: float) -> float:
        return _rate_factor(self._day, lambda trouble: trouble.kind == "burst" and trouble.is_active(time), _size_of)

    def _volume_factor(self, name: str, block: VolumesBlock, time: float) -> float:
        def is_hit(trouble: TroubleBlock) -> bool:
            if not trouble.is_active(time):
                return False
            if trouble.kind == "plan_burst":
                return trouble.plan == block.name
            return trouble.kind == "hot_volumes" and name in self._hot_volumes[trouble.name]

        return _rate_factor(self._day, is_hit, _size_of)

    def _draw_run(self, time: float, rates: list[float]) -> None:
        volume = self._picks.choices(self._volumes, rates)[0][0]
        stream = self._picks.choices(self._day.traffic, [stream.share for stream in self._day.traffic])[0]
        gateways = self._draw_gateways(volume, time)
        patience_s, leaves_s = self._draw_patience(stream, time)
        is_scan = any(
            trouble.kind == "scan" and trouble.is_active(time) and self._picks.random() < trouble.part
            for trouble in self._day.trouble
        )
        length = self._picks.randint(1, stream.run)
        client = _Client(
            at=time,
            volume=volume,
            stream=stream,
            gateways=gateways,
            patience_s=patience_s,
            leaves_s=leaves_s,
            is_scan=is_scan,
            reads_fresh=not stream.writes and not is_scan and self._picks.random() < stream.fresh,
            held_key=self._draw_held_key(),
            run=f"r{len(self._operations)}" if length > 1 and not is_scan else "",
        )
        for index in range(length):
            self._operations.append(self._draw_operation(client, index))

    def _draw_gateways(self, volume: str, time: float) -> tuple[int, ...]:
        """Draw the order in which a client tries the gateways of a volume, with a lead that moves."""
        gateways = self._gateways[volume]
        lead_every_s = self._day.load.lead_every
        offset_s = 2 * Random(f"{self._seed}-{volume}-turn").random() * lead_every_s
        turn = int((time + offset_s) / lead_every_s)
        for trouble in self._day.trouble:
            if trouble.kind == "lead_moves" and time >= trouble.at:
                turn += int(Random(f"{self._seed}-{volume}-{trouble.name}").random() < trouble.part)
        lead = Random(f"{self._seed}-{volume}-{turn}").randrange(len(gateways))
        distances = [(index - lead) % len(gateways) for index in range(len(gateways))]
        weights = [(1 + distance) ** -self._day.load.skew for distance in distances]
        first = self._leads.choices(range(len(gateways)), weights)[0]
        return gateways[first:] + gateways[:first]

    def _draw_patience(self, stream: TrafficBlock, time: float) -> tuple[float, float]:
        """Draw how long a client waits in its first attempt, and after how long it goes."""
        request_class = self._day.class_[self._classes.index(stream.name)]
        patience_s = request_class.deadline
        leaves_s = inf
        for trouble in self._day.trouble:
            if trouble.kind not in ("impatient", "leavers") or not trouble.is_active(time):
                continue
            if self._picks.random() >= trouble.part:
                continue
            if trouble.kind == "impatient":
                patience_s = max(MIN_PATIENCE_S, request_class.aim * trouble.size)
            else:
                leaves_s = self._picks.uniform(MIN_STAY_S, request_class.aim)
        return patience_s, leaves_s

    def _draw_operation(self, client: _Client, index: int) -> Operation:
        stream = client.stream
        name = f"s{self._seed}o{len(self._operations) + 1}"
        size = min(_draw_size(stream.size, self._picks), _max_object_bytes(self._day))
        part = self._draw_range(stream)
        key = self._draw_key(client, name)
        return Operation(
            name=name,
            at=client.at + RUN_SPACING_S * index,
            volume=client.volume,
            cls=self._classes.index(stream.name),
            writes=stream.writes,
            key=key,
            size=max(MIN_OBJECT_BYTES, size),
            pick=self._picks.random(),
            part=None if stream.writes else part,
            run=client.run,
            patience=client.patience_s,
            heads=client.gateways,
            leaves=client.leaves_s,
        )

    def _draw_range(self, stream: TrafficBlock) -> tuple[float, float] | None:
        if self._picks.random() >= stream.ranged:
            return None
        start = self._picks.random() * MAX_RANGE_START
        return start, self._picks.uniform(MIN_RANGE_LENGTH, MAX_RANGE_LENGTH)

    def _draw_key(self, client: _Client, name: str) -> str:
        if client.stream.writes:
            return f"new/{name}"
        if client.reads_fresh:
            return ""
        if client.is_scan:
            return self._draw_held_key()
        return client.held_key

    def _draw_held_key(self) -> str:
        return _held_key(self._picks.randrange(self._day.load.objects))


def _size_of(trouble: TroubleBlock) -> float:
    return trouble.size


def _rate_factor(day: Day, is_hit: Callable[[TroubleBlock], bool], factor_of: Callable[[TroubleBlock], float]) -> float:
    return prod((factor_of(trouble) for trouble in day.trouble if is_hit(trouble)), start=1.0)
