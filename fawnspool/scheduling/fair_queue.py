"""Weighted fair queueing of the volumes at one node.

The algorithm is that of "Efficient QoS for Multi-Tiered Storage Systems". Each volume has a FIFO queue and a start
tag, and the volume with the smallest tag is served next. When a request completes, its volume's tag advances by the
mean of the volume's last response times divided by its weight, and all active tags are shifted so that the smallest
equals the current time.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fawnspool.scheduling.pending_request import PendingRequest

RESPONSES_IN_MEAN = 16  # N in the paper
MAX_RUN_REQUESTS = 12  # requests of one extent in a row; longer runs would starve other volumes
IDLE_VOLUME_S = 30.0  # state of a volume that is unused for this long is dropped


@dataclass(slots=True, eq=False)
class VolumeQueue:
    """The requests of one volume at one node.

    Attributes
    ----------
    start_tag : float
        Seconds on the caller's clock; the volume with the smallest tag is served next.
    recent_responses_s : deque of float
        The last response times, from which the volume's mean is taken.
    """

    weight: float
    requests: deque[PendingRequest] = field(default_factory=deque)
    start_tag: float = 0.0
    in_flight: int = 0
    recent_responses_s: deque[float] = field(default_factory=lambda: deque(maxlen=RESPONSES_IN_MEAN))
    last_used_at: float = 0.0

    def tag_step_s(self, default_response_s: float) -> float:
        """Return by how much a completion advances the tag; the default stands in for a volume without responses."""
        recent = self.recent_responses_s
        mean_response_s = sum(recent) / len(recent) if recent else default_response_s
        return mean_response_s / self.weight


@dataclass(slots=True, eq=False)
class FairQueue:
    """The queues of all volumes at one node.

    Attributes
    ----------
    volumes : OrderedDict of int to VolumeQueue
        By volume; the least recently used first.
    active : dict of int to VolumeQueue
        Volumes with requests queued or in flight.
    max_volumes : int or None
        Number of volumes remembered, beside those with requests queued or in flight; None: no limit but by time.
    queued, queued_units
        Number of queued requests, and the sum of their units.
    earliest_due_at : float
        Lower bound of the queued requests' due times, in seconds.
    last_extent : tuple of int
        Volume and extent of the request sent last.
    run_length : int
        Number of requests of that extent sent in a row; 0 where the last request had no extent.
    """

    volumes: OrderedDict[int, VolumeQueue] = field(default_factory=OrderedDict)
    active: dict[int, VolumeQueue] = field(default_factory=dict)
    max_volumes: int | None = None
    queued: int = 0
    queued_units: float = 0.0
    earliest_due_at: float = 0.0
    last_extent: tuple[int, int] | None = None
    run_length: int = 0

    def enqueue(self, pending: PendingRequest, now: float, at_front: bool) -> None:
        """Queue a request; the tag of a volume that becomes active is raised to at least the current time."""
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
        while self.volumes:
            oldest = next(iter(self.volumes.values()))
            is_surplus = self.max_volumes is not None and len(self.volumes) > self.max_volumes
            if oldest.in_flight or oldest.requests or not (is_surplus or oldest.last_used_at < now - IDLE_VOLUME_S):
                break
            self.volumes.popitem(last=False)

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request from its volume's queue."""
        self.volumes[pending.request.volume].requests.remove(pending)
        self.queued -= 1
        self.queued_units -= pending.request.units
        pending.is_queued = False

    def next(self, may_send: Callable[[PendingRequest], bool], default_response_s: float) -> PendingRequest | None:
        """Return the request to send next: one that continues the current run, else one with the smallest tag, or None.

        Tags advance only when requests complete, so requests in flight count as completed here. Otherwise the volume
        with the smallest tag would use up the node's whole concurrency limit.
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
        """Return whether a request is for the extent sent last and the run may still grow."""
        return pending.extent_of_volume() == self.last_extent and 0 < self.run_length < MAX_RUN_REQUESTS

    def record_send(self, pending: PendingRequest) -> None:
        """Count a request as in flight; it was removed from the queue before."""
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
        """Advance the volume's tag by its mean response divided by its weight."""
        volume = self.volumes[volume_id]
        volume.recent_responses_s.append(response_s)
        volume.start_tag += volume.tag_step_s(default_response_s)

    def shift_tags(self, now: float) -> None:
        """Drop volumes that are no longer active, and shift all tags so that the smallest equals the current time."""
        self.active = {
            volume_id: volume for volume_id, volume in self.active.items() if volume.requests or volume.in_flight
        }
        shift_s = now - min((volume.start_tag for volume in self.active.values()), default=now)
        for volume in self.active.values():
            volume.start_tag += shift_s

    def clear_active(self) -> None:
        """Drop all active volumes; the caller ensures that nothing is queued or in flight."""
        self.active.clear()

    def requests(self) -> list[PendingRequest]:
        """Return all queued requests, grouped by volume."""
        return [pending for volume in self.active.values() for pending in volume.requests]

    def requests_by_tag(self, default_response_s: float) -> list[PendingRequest]:
        """Return all queued requests, ordered by the tag of their volume once they are the first in its queue."""
        entries = list[tuple[float, int, int, PendingRequest]]()
        for volume_id, volume in self.active.items():
            step_s = volume.tag_step_s(default_response_s) if volume.requests else 0.0
            for position, pending in enumerate(volume.requests):
                tag = volume.start_tag + (volume.in_flight + position) * step_s
                entries.append((tag, volume_id, position, pending))
        entries.sort(key=lambda entry: entry[:3])
        return [pending for _, _, _, pending in entries]

    def refresh_earliest_due(self) -> None:
        """Recompute the earliest due time, as the request that set it may no longer be queued."""
        self.earliest_due_at = min(pending.due_at for volume in self.active.values() for pending in volume.requests)

    def reset_measurements(self) -> None:
        """Drop the measurements of the former node, as another node serves the queue from now on."""
        self.run_length = 0
        for volume in self.volumes.values():
            volume.in_flight = 0
            volume.recent_responses_s.clear()
