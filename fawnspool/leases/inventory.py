"""Comparison of the extents that nodes hold with the extent map, for one partition; nothing is repaired."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fawnspool.leases.drain import partition_of

MAX_EXAMPLES = 5  # extents named in a report


@dataclass(frozen=True)
class InventoryReport:
    """Differences between the extent map and the inventories of the nodes that answered.

    Parameters
    ----------
    compared
        Number of mapped extents in the partition.
    missing
        Extents that the node named by the map does not hold.
    stray
        Extents that a node holds although the map names another node, or none.
    unreachable
        Shards whose node did not answer.
    """

    compared: int
    missing: tuple[tuple[str, str], ...]
    stray: tuple[tuple[str, str], ...]
    unreachable: tuple[int, ...]

    def __str__(self) -> str:
        text = f"{self.compared} looked at, {len(self.missing)} missing, {len(self.stray)} stray"
        if self.unreachable:
            text += f", cells {', '.join(map(str, self.unreachable))} silent"
        examples = [f"{volume}/{extent}" for volume, extent in (*self.missing, *self.stray)][:MAX_EXAMPLES]
        return text + (f" ({', '.join(examples)})" if examples else "")


def compare_inventories(
    mapped: Mapping[tuple[str, str], int],
    stored: Mapping[int, Iterable[tuple[str, str]] | None],
    partition: int,
    partitions: int,
) -> InventoryReport:
    """Compare the map with the nodes' inventories.

    Parameters
    ----------
    mapped
        By extent (volume and key), the shard that the map names.
    stored
        By shard, the extents that its node holds; None where it did not answer.
    partition, partitions
        The partition that is compared, and how many there are.
    """
    expected = {extent: shard for extent, shard in mapped.items() if partition_of(*extent, partitions) == partition}
    found = {
        shard: {extent for extent in extents if partition_of(*extent, partitions) == partition}
        for shard, extents in stored.items()
        if extents is not None
    }
    missing = sorted(extent for extent, shard in expected.items() if shard in found and extent not in found[shard])
    stray = sorted({extent for shard, extents in found.items() for extent in extents if expected.get(extent) != shard})
    unreachable = sorted(set(stored) - set(found))
    return InventoryReport(len(expected), tuple(missing), tuple(stray), tuple(unreachable))
