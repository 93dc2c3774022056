"""Where extents lie at the end of a day: by the map, and by the nodes' disks."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fawnspool.extents.records import ExtentRecord
from fawnspool.extents.replicas import ReplicaRole
from fawnspool.standins.object_replicas import ObjectReplicas


@dataclass
class ExtentAudit:
    """What was found of all extents.

    Attributes
    ----------
    left
        Extents that were to leave a drained shard and still lie there.
    missing, twice
        Extents that no node serves, or more than one.
    named
        The first of these, for people; empty: there is none.
    """

    left: int = 0
    missing: int = 0
    twice: int = 0
    named: str = ""


def audit_extents(
    records: Iterable[ExtentRecord],
    replicas: Mapping[int, ObjectReplicas],
    drained: set[int],
    to_leave: set[tuple[str, str]],
) -> ExtentAudit:
    """Compare the map's records with what the nodes' disks hold, once the nodes have ended.

    Parameters
    ----------
    records
        All that the map holds.
    replicas
        By shard.
    drained
        Shards that were to be drained.
    to_leave
        Volume and extent of what lay there when that was asked for; what clients wrote later is not counted as left.
    """
    audit = ExtentAudit()
    for record in records:
        volume, extent = record.volume, record.extent
        audit.left += record.shard in drained and (volume, extent) in to_leave
        owners = [shard for shard, held in replicas.items() if held.get(volume, extent).role is ReplicaRole.OWNER]
        under_way = replicas[record.shard].get(volume, extent)  # the day's end came in the middle of its migration
        is_migrating = under_way.role is ReplicaRole.FENCED and under_way.has_data and record.shard in drained
        audit.missing += not owners and not is_migrating
        audit.twice += len(owners) > 1
        if len(owners) != 1 and not audit.named:
            audit.named = f"{volume}/{extent} by the map in cell {record.shard}, served by {owners}"
    return audit
