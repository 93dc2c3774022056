"""What gateways share by gossip, judged from sockets.

How much was refused that the fleet as a whole might have let through, how much gossip cost, and whether well nodes went
unused. Whether a limit was passed is one of the seven rules (`rate_limits.py`). No I/O, no clock.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import merge
from itertools import pairwise

from fawnspool.rules.findings import Finding, RuleCheck
from fawnspool.rules.history import History
from fawnspool.rules.observations import Arrival, ClientRequest, RequestEnd
from fawnspool.rules.rate_limits import VolumeBucket
from fawnspool.rules.terms import RuleTerms

NODE_USE_RULE = "well nodes used"
MAX_EXPECTED_IN_GAP = 25.0  # requests a node would have had in a gap: chance alone leaves one out in e^25
MIN_RUN_TO_MISS_NODE_S = 5.0  # a run so long uses each node at least once
GOSSIP_LEADING_BYTE = 0xB5  # of gossip (gossip/messages.py)
DATAGRAM_OVERHEAD_BYTES = 28  # IP and UDP headers
_MIN_DIVISOR = 1e-9


@dataclass
class GossipFinding:
    """What was found of shared limits and gossip.

    Attributes
    ----------
    asked
        Requests of volumes with a limit.
    refused
        Of these, refusals.
    refused_within_limit
        Of these, as many as one gateway that saw all would have had room for in the limit, each counted as served from
        then on.
    datagrams_per_s, bytes_per_s
        Of gossip per gateway, as the links noted them (sent, whether or not they passed).
    node_use
        Finding of the rule that well nodes are used.
    """

    asked: int = 0
    refused: int = 0
    refused_within_limit: int = 0
    datagrams_per_s: float = 0.0
    bytes_per_s: float = 0.0
    node_use: Finding = field(default_factory=lambda: Finding(NODE_USE_RULE))

    @property
    def refused_share(self) -> float:
        """Of what was asked, the part refused within the limit."""
        return self.refused_within_limit / self.asked if self.asked else 0.0


def judge_gossip(history: History, terms: RuleTerms, gateways: int) -> GossipFinding:
    """Judge a run of a fleet of so many gateways."""
    found = GossipFinding(node_use=_check_node_use(history))
    _count_refusals(history, terms, found)
    _measure_traffic(history, gateways, found)
    return found


def _count_refusals(history: History, terms: RuleTerms, found: GossipFinding) -> None:
    requests: dict[tuple[str, int], ClientRequest] = {}
    for request in history.client_requests:
        if request.volume in terms.limits:
            requests[request.operation, request.number] = request
            found.asked += 1
    refusals = [end for key in requests for end in history.request_ends.get(key, ()) if end.how == "refused"]
    refusals.sort(key=_time_of)
    buckets = _empty_buckets(history, terms)
    counted: set[tuple[int, int]] = set()
    events: Iterator[Arrival | RequestEnd] = merge(history.arrivals, refusals, key=_time_of)
    for event in events:
        if isinstance(event, Arrival):
            bucket = buckets.get(event.volume)
            request_id = (event.gateway, event.request_id)
            if bucket is None or request_id in counted:
                continue
            counted.add(request_id)
            bucket.refill(event.time)
            bucket.take(event.units)
        else:
            request = requests[event.operation, event.number]
            bucket = buckets[request.volume]
            bucket.refill(event.time)
            found.refused += 1
            if bucket.units >= request.units:
                found.refused_within_limit += 1
                bucket.take(request.units)


def _time_of(event: Arrival | RequestEnd) -> float:
    return event.time


def _empty_buckets(history: History, terms: RuleTerms) -> dict[str, VolumeBucket]:
    """Return buckets that fill from the first start of a gateway on.

    An earlier incarnation may have used all that was saved until then, so no gateway may count on more.
    """
    changes = (change.time for changes in history.gateway_changes.values() for change in changes)
    begin = min(changes, default=history.first)
    return {volume: VolumeBucket(limit, 0.0, begin) for volume, limit in terms.limits.items()}


def _measure_traffic(history: History, gateways: int, found: GossipFinding) -> None:
    sizes = [
        datagram.size_bytes + DATAGRAM_OVERHEAD_BYTES
        for datagram in history.peer_datagrams
        if datagram.leading_byte == GOSSIP_LEADING_BYTE
    ]
    gateway_seconds = max(_MIN_DIVISOR, history.last - history.first) * max(1, gateways)
    found.datagrams_per_s = len(sizes) / gateway_seconds
    found.bytes_per_s = sum(sizes) / gateway_seconds


def _check_node_use(history: History) -> Finding:
    """Check that nodes which no fault hit got requests all the time.

    A gap in which a node would have had many requests is no chance: gateways turned from it. The time in which gateways
    stand still does not count.
    """
    check = RuleCheck(NODE_USE_RULE, history)
    if not history.client_requests:
        return check.finding
    first = history.client_requests[0].time
    last = history.client_requests[-1].time
    stalled_s = sum(max(0.0, stall.end - stall.start) for stalls in history.stalls.values() for stall in stalls)
    arrivals: dict[int, list[float]] = defaultdict(list)
    for arrival in history.arrivals:
        arrivals[arrival.node].append(arrival.time)
    for start in history.node_starts:
        if start.node in history.faulty_nodes:
            continue
        times = arrivals[start.node]
        rate = len(times) / max(_MIN_DIVISOR, last - first)
        gap_s, gap_start = max((after - before, before) for before, after in pairwise([first, *times, last]))
        check.add_examined()
        check.add_closeness(gap_s * rate / MAX_EXPECTED_IN_GAP)
        is_never_used = not times and last - first > MIN_RUN_TO_MISS_NODE_S
        if (gap_s - stalled_s) * rate > MAX_EXPECTED_IN_GAP or is_never_used:
            text = f"node {start.node} was well and got nothing for {gap_s:.1f} s"
            check.add_breach(gap_start, f"{text}, {rate:.1f} requests a second otherwise")
    return check.finding
