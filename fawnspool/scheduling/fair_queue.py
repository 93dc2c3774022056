"""Weighted fair queueing of the volumes at one node.

The mechanism of "Efficient QoS for Multi-Tiered Storage Systems": a FIFO queue and a start tag per volume; the
volume with the smallest tag is served next; at a completion its tag moves on by the mean of its last responses over
its weight, and all active tags shift so that the least of them is now.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fawnspool.scheduling.pending_request import PendingRequest

RESPONSES_IN_MEAN = 16  # the paper's N
MAX_RUN_REQUESTS = 12  # of one extent in a row: longer runs would shut out other volumes
IDLE_VOLUME_S = 30.0  # a volume that is unused for so long leaves the tables


@dataclass(slots=True, eq=False)
class VolumeQueue:
    """The requests of one volume at one node.

    Attributes
    ----------
    start_tag : float
        Seconds on the caller's clock; the smallest is served next.
    recent_responses_s : deque of float
        The last response times, for the volume's mean.
    """

    weight: float
    requests: deque[PendingRequest] = field(default_factory=deque)
    start_tag: float = 0.0
    in_flight: int = 0
    recent_responses_s: deque[float] = field(default_factory=lambda: deque(maxlen=RESPONSES_IN_MEAN))
    last_used_at: float = 0.0

    def tag_step_s(self, default_response_s: float) -> float:
        """Return by how much a completion moves the tag on; a volume without responses counts as the default."""
        recent = self.recent_responses_s
        mean_response_s = sum(recent) / len(recent) if recent else default_response_s
        return mean_response_s / self.weight


@dataclass(slots=True, eq=False)
class FairQueue:
    """All volumes' queues at one node.

    Attributes
    ----------
    volumes : OrderedDict of int to VolumeQueue
        By volume; the longest unused first.
    active : dict of int to VolumeQueue
        Those with something queued or in flight.
    queued, queued_units
        How many requests are queued, and their units.
    earliest_due_at : float
        No queued request is due before; seconds.
    last_extent : tuple of int
        Volume and extent of the request sent last.
    run_length : int
        How many requests of that extent were sent in a row; 0 where it had none.
    """

    volumes: OrderedDict[int, VolumeQueue] = field(default_factory=OrderedDict)
    active: dict[int, VolumeQueue] = field(default_factory=dict)
    queued: int = 0
    queued_units: float = 0.0
    earliest_due_at: float = 0.0
    last_extent: tuple[int, int] | None = None
    run_length: int = 0

    def enqueue(self, pending: PendingRequest, now: float, at_front: bool) -> None:
        """Queue a request; a volume that becomes active starts at the later of its tag and now."""
        volume_id = pending.request.volume
        volume = self.volumes.setdefault(volume_id, VolumeQueue(pending.plan.weight))
        if not volume.requests and not volume.in_flight:
            volume.start_tag = max(volume.start_tag, now)
        volume.last_used_at = now
        if at_front:
            volume.requests.appendleft(pending)
        else:
            volume.requests.append(pending)
        pending.is_queued = True
        self.earliest_due_at = min(self.earliest_due_at, pending.due_at) if self.queued else pending.due_at
        self.queued += 1
        self.queued_units += pending.request.units
        self.active[volume_id] = volume
        self.volumes.move_to_end(volume_id)
        self._forget_idle_volumes(now)

    def _forget_idle_volumes(self, now: float) -> None:
        while (oldest := next(iter(self.volumes.values()))).last_used_at < now - IDLE_VOLUME_S and not oldest.in_flight:
            self.volumes.popitem(last=False)

    def remove(self, pending: PendingRequest) -> None:
        """Take a request out of its volume's queue."""
        self.volumes[pending.request.volume].requests.remove(pending)
        self.queued -= 1
        self.queued_units -= pending.request.units
        pending.is_queued = False

    def next(self, may_send: Callable[[PendingRequest], bool], default_response_s: float) -> PendingRequest | None:
        """Return the request to send next, or None: one that goes on with the run, else one of the smallest tag.

        Tags move at completions only, so what is in flight counts as completed here: otherwise the volume in front
        would fill the node's whole limit.
        """
        if 0 < self.run_length < MAX_RUN_REQUESTS and self.last_extent is not None:
            volume_id, extent = self.last_extent
            run = self.active.get(volume_id)
            for pending in run.requests if run else ():
                if pending.request.extent == extent and may_send(pending):
                    return pending
        tags = sorted(
            (volume.start_tag + volume.in_flight * volume.tag_step_s(default_response_s), volume_id)
            for volume_id, volume in self.active.items()
            if volume.requests
        )
        for _, volume_id in tags:
            for pending in self.volumes[volume_id].requests:
                if may_send(pending):
                    return pending
        return None

    def continues_run(self, pending: PendingRequest) -> bool:
        """Return whether a request is of the extent sent last, within the longest run."""
        return pending.extent_of_volume() == self.last_extent and 0 < self.run_length < MAX_RUN_REQUESTS

    def record_send(self, pending: PendingRequest) -> None:
        """Count a request, removed before, as in flight."""
        extent = pending.extent_of_volume()
        if not pending.request.extent:
            self.run_length = 0
        elif extent == self.last_extent:
            self.run_length += 1
        else:
            self.run_length = 1
        self.last_extent = extent
        self.volumes[pending.request.volume].in_flight += 1

    def record_end(self, volume_id: int) -> None:
        """Count a request of the volume as no longer in flight."""
        self.volumes[volume_id].in_flight -= 1

    def record_response(self, volume_id: int, response_s: float, default_response_s: float) -> None:
        """Move the volume's tag on by its mean response over its weight."""
        volume = self.volumes[volume_id]
        volume.recent_responses_s.append(response_s)
        volume.start_tag += volume.tag_step_s(default_response_s)

    def shift_tags(self, now: float) -> None:
        """Drop volumes that are no longer active, and shift all tags so that the least is now."""
        self.active = {
            volume_id: volume for volume_id, volume in self.active.items() if volume.requests or volume.in_flight
        }
        shift_s = now - min((volume.start_tag for volume in self.active.values()), default=now)
        for volume in self.active.values():
            volume.start_tag += shift_s

    def forget_active(self) -> None:
        """Count no volume as active: nothing is queued or in flight."""
        self.active.clear()

    def requests(self) -> list[PendingRequest]:
        """Return all that is queued, volume by volume."""
        return [pending for volume in self.active.values() for pending in volume.requests]

    def requests_by_tag(self, default_response_s: float) -> list[PendingRequest]:
        """Return all that is queued in the order of the tags that it would have when its turn comes."""
        order = list[tuple[float, int, int, PendingRequest]]()
        for volume_id, volume in self.active.items():
            step_s = volume.tag_step_s(default_response_s) if volume.requests else 0.0
            for place, pending in enumerate(volume.requests):
                tag = volume.start_tag + (volume.in_flight + place) * step_s
                order.append((tag, volume_id, place, pending))
        order.sort(key=lambda row: row[:3])
        return [pending for _, _, _, pending in order]

    def refresh_earliest_due(self) -> None:
        """Look up the earliest due time again, as the request that had it may have left since."""
        self.earliest_due_at = min(pending.due_at for volume in self.active.values() for pending in volume.requests)

    def forget_service(self) -> None:
        """Another node serves the queue from now on: nothing that was measured of the former one holds."""
        self.run_length = 0
        for volume in self.volumes.values():
            volume.in_flight = 0
            volume.recent_responses_s.clear()
