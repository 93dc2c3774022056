"""What is said of an extent, and which of two sayings holds.

A fact names an extent's cell at a generation. The generation counts the extent's moves and is kept with the data: a
node takes a fence only for a higher one than its own, so two movers can't both reach the same. Facts travel in deltas
of a shard, numbered by the map service: an epoch for each life of the service (one that comes back from an old backup
has a new epoch and lower versions), a version for each change within it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class State(IntEnum):
    """Of an extent's copy at its cell."""

    HELD = 0  # reads and writes go there
    COPYING = 1  # as HELD; another cell is being filled
    FENCED = 2  # its old node answers `moved`; the new one takes over
    GONE = 3  # deleted: a tombstone, kept until a snapshot without it


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """When a fact was said. The order of facts is the order of their stamps, and this is all of it:

    1. generation: how often the extent had moved. Data decides: a restored service may not know of a move that the
       nodes know of, and must not win over them.
    2. epoch: of two facts of one generation the one of the service's later life, as it has seen more or was told by
       an operator.
    3. version: within a life the later change.
    """

    generation: int
    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class Fact:
    """extent: a name within its volume. size: bytes, for reads' units."""

    volume: str
    extent: str
    cell: int
    stamp: Stamp
    state: State = State.HELD
    size: int = 0


def later(a: Fact | None, b: Fact) -> Fact:
    """The one that holds. Two facts of one stamp are the same saying; should they differ all the same (a service that
    numbers twice), the greater by content holds, so that every head ends with the same one."""
    if a is None or a.stamp < b.stamp:
        return b
    if b.stamp < a.stamp:
        return a
    return max(a, b, key=lambda f: (f.state, f.cell, f.size))


@dataclass(frozen=True, slots=True)
class Delta:
    """Changes `after` < version <= `upto` of a shard in one epoch. `whole`: a snapshot, all there is at `upto`; then
    `covers` says up to which version this life of the service knows each earlier epoch (a restored one knows its
    predecessor's up to the backup): what a snapshot leaves out is gone only if it knew of it."""

    shard: int
    epoch: int
    after: int
    upto: int
    facts: tuple[Fact, ...]
    whole: bool = False
    covers: tuple[tuple[int, int], ...] = ()


class DeltaError(Exception):
    """A delta that can't be; the text names the shard and what is wrong."""


def check(delta: Delta, shards: int) -> None:
    """Raises DeltaError where numbers contradict each other: such a delta is not applied at all."""

    def wrong(text: str) -> DeltaError:
        return DeltaError(
            f"delta of shard {delta.shard}, epoch {delta.epoch}, versions {delta.after} to {delta.upto}: {text}"
        )

    if not 0 <= delta.shard < shards:
        raise wrong(f"there are {shards} shards")
    if delta.epoch < 1 or delta.after < 0 or delta.upto < delta.after:
        raise wrong("epochs begin at 1, versions at 0 and do not fall")
    if delta.whole and delta.after:
        raise wrong("a snapshot begins at 0")
    if delta.covers and (not delta.whole or any(not 0 < e < delta.epoch for e, _ in delta.covers)):
        raise wrong("only a snapshot covers earlier epochs, and only earlier ones")
    for f in delta.facts:
        if (f.stamp.epoch, f.stamp.version) > (delta.epoch, delta.upto):
            raise wrong(f"holds a later fact of {f.volume}/{f.extent}: {f.stamp}")
        if f.cell < 0 and f.state is not State.GONE:
            raise wrong(f"{f.volume}/{f.extent} lies nowhere")
