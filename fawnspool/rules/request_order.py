"""The rule "order kept": requests of an ordered class for one extent are sent one at a time, in order of acceptance.

Gateways number requests in the order in which they accept them, and nodes write the numbers down. As a gateway might
lie, clients' own times are held against them too, more loosely.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

from fawnspool.rules.findings import RuleCheck
from fawnspool.rules.observations import Arrival
from fawnspool.rules.terms import RuleTerms

ACCEPT_S = 0.1  # from a client's sending until its gateway has accepted; it may have to find the extent first


def check_order_kept(check: RuleCheck, terms: RuleTerms, allowance_s: float) -> None:
    """Check the order at each pair of gateway and extent."""
    arrivals: dict[tuple[int, int], list[Arrival]] = defaultdict(list)
    for arrival in check.history.arrivals:
        if arrival.request_class in terms.ordered_classes and arrival.extent:
            arrivals[arrival.gateway, arrival.extent].append(arrival)
    sent_at: dict[tuple[str, int], list[float]] = defaultdict(list)
    for request in check.history.client_requests:
        sent_at[request.operation, request.gateway].append(request.time)
    for turns in arrivals.values():
        order = _ExtentOrder(check, terms.settle_s, allowance_s)
        for arrival in turns:
            order.add_arrival(arrival, sent_at[arrival.operation, arrival.gateway])


class _ExtentOrder:
    """Order of the requests of one gateway for one extent."""

    def __init__(self, check: RuleCheck, settle_s: float, allowance_s: float) -> None:
        self._check = check
        self._settle_s = settle_s
        self._allowance_s = allowance_s
        self._free_at = 0.0  # when another request may be sent
        self._current_id: int | None = None
        self._latest_sent = 0.0
        self._highest_id = 0

    def add_arrival(self, arrival: Arrival, sent_at: list[float]) -> None:
        """Check an arrival; `sent_at` has the times at which clients sent its operation to the gateway."""
        self._check.add_examined()
        place = f"head {arrival.gateway}, extent {arrival.extent:x}"
        if self._overlaps(arrival):
            text = f"{place}: request {arrival.request_id} went out while {self._current_id} "
            self._check.add_breach(arrival.time, text + "had an attempt that was not over")
        # The client's latest sending counts: an earlier one that was refused has lost its place.
        preceding = bisect_left(sent_at, arrival.time + self._allowance_s)
        sent = self._check.history.resumed_at(arrival.gateway, sent_at[preceding - 1] if preceding else 0.0)
        if self._is_overtaken(arrival, sent):
            self._check.add_breach(arrival.time, f"{place}: {arrival.operation} went out behind a later request")
        self._latest_sent = max(self._latest_sent, sent)
        self._highest_id = max(self._highest_id, arrival.request_id)
        self._note_end(arrival)

    def _overlaps(self, arrival: Arrival) -> bool:
        is_other = self._current_id is not None and arrival.request_id != self._current_id
        return is_other and arrival.time + self._allowance_s < self._free_at

    def _is_overtaken(self, arrival: Arrival, sent: float) -> bool:
        if arrival.key.attempt:
            return False
        return arrival.request_id < self._highest_id or sent + ACCEPT_S + self._allowance_s < self._latest_sent

    def _note_end(self, arrival: Arrival) -> None:
        end = self._end_of(arrival)
        self._free_at = max(self._free_at, end) if arrival.request_id == self._current_id else end
        self._current_id = arrival.request_id

    def _end_of(self, arrival: Arrival) -> float:
        answer = self._check.history.node_answers.get(arrival.key)
        if answer is None or answer.status == 0 or answer.lost:
            return arrival.time + self._settle_s  # its sender can't be sure of its end
        return answer.time
