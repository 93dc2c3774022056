"""All interleavings of three acceptors and two candidates for one role, on the code that gateways run
(`leases/ballot.py`, `candidate.py`).

A sent message is kept: it may arrive at any later time, any number of times, or never, so loss, duplication and delay
need no steps of their own. A stopped process is a candidate or acceptor that takes no step for a while. Steps are:
time, campaign, renewal, an arriving message, a release, an acceptor's restart with and without its disk, a candidate's
restart, an effect that is sent and one that arrives. `python -m tests.lease_model` prints the number of states walked;
a walk must find each of the `MISTAKES`.

Messages are tuples, as a walk holds millions of them:

    ("request", acceptor, token, incarnation, requested_at)
    ("grant", acceptor, token, incarnation, requested_at)
    ("release", acceptor, token, incarnation)
    ("recovered", recovering acceptor, sender, end of its silence, sender has its memory, highest token)
    ("effect", token, incarnation)
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import permutations
from typing import Any, NamedTuple

from fawnspool.leases import ballot as ballots
from fawnspool.leases.ballot import Ballot, BallotVerdict, Promise, RecoveryResponse
from fawnspool.leases.candidate import NEVER, Proposal, guaranteed_lease_s

LEASE_S = 2.0
ACCEPTORS = range(3)
ORDERS = tuple((order, {old: new for new, old in enumerate(order)}) for order in permutations(ACCEPTORS))
TOO_MANY_STATES = "too many states"
OLDER_AFTER_NEWER = -1  # value of `newest_effect` after an effect under an older token

Message = tuple[Any, ...]
Votes = tuple[tuple[int, float], ...]  # acceptor, when its vote was requested


@dataclass(frozen=True)
class Rules:
    """The rules of the lease protocol; a mistake replaces one of them."""

    vote: Callable[..., Any] = ballots.vote
    release: Callable[..., Any] = ballots.release
    restore: Callable[..., Any] = ballots.restore
    recovered_floor: Callable[..., Any] = ballots.recovered_floor
    quorum: int = 2
    persists_votes: bool = True  # before they are announced
    silence_s: float = LEASE_S  # of an acceptor without its memory
    counts_from_response: bool = False
    stops_at_lease_end: bool = True  # a holder stops at the end of its lease
    fences: bool = True  # the service where effects arrive remembers the newest token
    drops_released_claim: bool = True  # a released claim is not continued


@dataclass(frozen=True)
class Bounds:
    """Limits of a walk: the time, the tokens, and how often each step is taken at most."""

    time: int = 4
    tokens: int = 3
    campaigns: int = 2  # of all candidates
    renewals: int = 1
    restarts: int = 1  # of acceptors, with their disk
    losses: int = 1  # of an acceptor's disk
    candidate_restarts: int = 0
    releases: int = 1
    effects: bool = True


class StepCounts(NamedTuple):
    """How often each bounded step was taken."""

    campaigns: int = 0
    renewals: int = 0
    restarts: int = 0
    losses: int = 0
    candidate_restarts: int = 0
    releases: int = 0


class AcceptorState(NamedTuple):
    """The state of one acceptor.

    `responses` are those of the other acceptors to one without memory: (sender, has its memory, highest token). None
    means that this acceptor has its memory and votes.
    """

    promise: Promise = Promise()
    floor: float = 0
    silent_until: float = 0.0
    responses: tuple[tuple[int, bool, int], ...] | None = None


class Claim(NamedTuple):
    """A candidate's or holder's claim; `successor` is a higher token that is requested, 0 for none."""

    token: int
    votes: Votes = ()
    successor: int = 0
    successor_votes: Votes = ()


class Candidate(NamedTuple):
    incarnation: int
    claim: Claim | None = None


class State(NamedTuple):
    """One state of a walk.

    `last_holder` is token and incarnation; `fence` is the newest token at the service where effects arrive.
    """

    now: int = 0
    acceptors: tuple[AcceptorState, ...] = (AcceptorState(),) * 3
    candidates: tuple[Candidate, ...] = (Candidate(1), Candidate(2))
    messages: Any = frozenset()  # in the canonical form a sorted tuple
    step_counts: StepCounts = StepCounts()
    last_holder: tuple[int, int] = (0, 0)
    fence: int = 0
    newest_effect: int = 0

    def send(self, *messages: Message) -> State:
        return self._replace(messages=self.messages | set(messages))

    def with_acceptor(self, index: int, acceptor: AcceptorState) -> State:
        return self._replace(acceptors=_replaced(self.acceptors, index, acceptor))

    def with_claim(self, index: int, claim: Claim | None) -> State:
        candidate = self.candidates[index]._replace(claim=claim)
        return self._replace(candidates=_replaced(self.candidates, index, candidate))

    def counted(self, step: str) -> State:
        return self._replace(step_counts=self.step_counts._replace(**{step: getattr(self.step_counts, step) + 1}))


def _replaced(rows: tuple[Any, ...], index: int, row: Any) -> tuple[Any, ...]:
    return (*rows[:index], row, *rows[index + 1 :])


def _expires_at(rules: Rules, votes: Votes) -> float:
    return Proposal(0, 0.0, dict(votes)).expires_at(rules.quorum, guaranteed_lease_s(LEASE_S, 0.0))


def holds(rules: Rules, now: float, claim: Claim | None) -> bool:
    if claim is None:
        return False
    expires_at = _expires_at(rules, claim.votes)
    return expires_at > now or (not rules.stops_at_lease_end and expires_at > NEVER)


# ---------------------------------------------------------------- steps


def steps(rules: Rules, bounds: Bounds, canonical: State) -> Iterator[State]:
    """Yield all states that follow a state."""
    state = canonical._replace(messages=frozenset(canonical.messages))
    if state.now < bounds.time:
        yield state._replace(now=state.now + 1)
    for index, candidate in enumerate(state.candidates):
        yield from _campaigns(rules, bounds, state, index, candidate)
        if candidate.claim is not None:
            yield from _claim_steps(rules, bounds, state, index, candidate.incarnation, candidate.claim)
    for index, acceptor in enumerate(state.acceptors):
        yield from _restarts(rules, bounds, state, index, acceptor)
        yield from _recovery_messages(state, index, acceptor)
    for message in state.messages:
        yield from _ARRIVALS[message[0]](rules, state, *message[1:])


def _requests(state: State, token: int, incarnation: int) -> set[Message]:
    return {("request", acceptor, token, incarnation, state.now) for acceptor in ACCEPTORS}


def _campaigns(rules: Rules, bounds: Bounds, state: State, index: int, candidate: Candidate) -> Iterator[State]:
    incarnation, claim = candidate
    if state.step_counts.campaigns >= bounds.campaigns:
        return
    for token in range(1 if claim is None else claim.token + 1, bounds.tokens + 1):
        is_used = any(m[0] == "request" and m[2:4] == (token, incarnation) for m in state.messages)
        if is_used or (claim is not None and claim.successor):
            continue  # an incarnation uses a token only once
        campaign = Claim(token)
        if claim is not None and holds(rules, state.now, claim):
            # A holder keeps its old token until the higher one has a majority.
            campaign = Claim(claim.token, claim.votes, token)
        yield state.with_claim(index, campaign).send(*_requests(state, token, incarnation)).counted("campaigns")


def _claim_steps(
    rules: Rules, bounds: Bounds, state: State, index: int, incarnation: int, claim: Claim
) -> Iterator[State]:
    is_holding = holds(rules, state.now, claim)
    token = claim.successor or claim.token
    requests = _requests(state, token, incarnation)
    if state.step_counts.renewals < bounds.renewals and is_holding and not requests <= state.messages:
        yield state.send(*requests).counted("renewals")
    if state.step_counts.releases < bounds.releases:
        releases = {
            ("release", acceptor, released, incarnation) for acceptor in ACCEPTORS for released in {claim.token, token}
        }
        kept = None if rules.drops_released_claim else claim
        yield state.with_claim(index, kept).send(*releases).counted("releases")
    if state.step_counts.candidate_restarts < bounds.candidate_restarts:
        restarted_candidate = Candidate(incarnation + 10)
        yield state._replace(candidates=_replaced(state.candidates, index, restarted_candidate)).counted(
            "candidate_restarts"
        )
    effect = ("effect", claim.token, incarnation)
    if bounds.effects and effect not in state.messages and is_holding:
        yield state.send(effect)


def _restarts(rules: Rules, bounds: Bounds, state: State, index: int, acceptor: AcceptorState) -> Iterator[State]:
    without_memory = AcceptorState(Promise(), 0, state.now + rules.silence_s, ())
    if state.step_counts.restarts < bounds.restarts:
        stored = acceptor.promise if rules.persists_votes else Promise()
        restarted = acceptor._replace(promise=rules.restore(stored, state.now, LEASE_S))
        if acceptor.responses is not None:
            restarted = without_memory
        yield state.with_acceptor(index, restarted).counted("restarts")
    if state.step_counts.losses < bounds.losses:
        yield state.with_acceptor(index, without_memory).counted("losses")


def _recovery_messages(state: State, index: int, acceptor: AcceptorState) -> Iterator[State]:
    if acceptor.responses is None or state.now < acceptor.silent_until:
        return
    for sender, other in enumerate(state.acceptors):
        highest = max(other.promise.token, other.floor)
        message = ("recovered", index, sender, acceptor.silent_until, other.responses is None, highest)
        if sender != index and message not in state.messages:
            yield state.send(message)


# ---------------------------------------------------------------- arriving messages


def _request_arrives(
    rules: Rules, state: State, index: int, token: int, incarnation: int, requested_at: float
) -> Iterator[State]:
    acceptor = state.acceptors[index]
    if acceptor.responses is not None:
        return
    requested_ballot = Ballot(token, incarnation)
    promise, verdict = rules.vote(acceptor.promise, requested_ballot, state.now, acceptor.floor, LEASE_S)
    next_state = state.with_acceptor(index, acceptor._replace(promise=promise))
    if verdict is BallotVerdict.GRANTED:
        yield next_state.send(("grant", index, token, incarnation, requested_at))
    elif promise != acceptor.promise:
        yield next_state


def _grant_arrives(
    rules: Rules, state: State, acceptor: int, token: int, incarnation: int, requested_at: float
) -> Iterator[State]:
    counts_from = state.now if rules.counts_from_response else requested_at
    for index, candidate in enumerate(state.candidates):
        claim = candidate.claim
        if claim is None or candidate.incarnation != incarnation or token not in (claim.token, claim.successor):
            continue
        voted = _with_vote(rules, claim, token, acceptor, counts_from)
        if voted != claim:
            yield state.with_claim(index, voted)


def _with_vote(rules: Rules, claim: Claim, token: int, acceptor: int, counts_from: float) -> Claim:
    is_current_token = token == claim.token
    previous_votes = claim.votes if is_current_token else claim.successor_votes
    votes = tuple(sorted(Proposal(token, 0.0, dict(previous_votes)).with_vote(acceptor, counts_from).votes.items()))
    claim = claim._replace(votes=votes) if is_current_token else claim._replace(successor_votes=votes)
    if claim.successor and _expires_at(rules, claim.successor_votes) > _expires_at(rules, claim.votes):
        return Claim(claim.successor, claim.successor_votes)
    return claim


def _release_arrives(rules: Rules, state: State, index: int, token: int, incarnation: int) -> Iterator[State]:
    acceptor = state.acceptors[index]
    if acceptor.responses is not None:
        return
    promise = rules.release(acceptor.promise, Ballot(token, incarnation))
    if promise != acceptor.promise:
        yield state.with_acceptor(index, acceptor._replace(promise=promise))


def _recovered_arrives(
    rules: Rules, state: State, index: int, sender: int, silent_until: float, has_memory: bool, highest: int
) -> Iterator[State]:
    acceptor = state.acceptors[index]
    response = (sender, has_memory, highest)
    if acceptor.responses is None or silent_until != acceptor.silent_until or response in acceptor.responses:
        return
    responses = tuple(sorted({row[0]: row for row in (*acceptor.responses, response)}.values()))
    floor = rules.recovered_floor({row[0]: RecoveryResponse(*row[1:]) for row in responses}, len(ACCEPTORS))
    if floor is None:
        yield state.with_acceptor(index, acceptor._replace(responses=responses))
    else:
        yield state.with_acceptor(index, acceptor._replace(floor=floor, responses=None))


def _effect_arrives(rules: Rules, state: State, token: int, incarnation: int) -> Iterator[State]:
    fence = state.fence if rules.fences else 0
    if token >= fence and token != state.newest_effect:
        newest = token if token > state.newest_effect else OLDER_AFTER_NEWER
        yield state._replace(fence=token, newest_effect=newest)


_ARRIVALS: dict[str, Callable[..., Iterator[State]]] = {
    "request": _request_arrives,
    "grant": _grant_arrives,
    "release": _release_arrives,
    "recovered": _recovered_arrives,
    "effect": _effect_arrives,
}


# ---------------------------------------------------------------- canonical states


def _live_messages(bounds: Bounds, state: State) -> set[Message]:
    """Return the messages that can still have an effect."""
    no_more_losses = state.step_counts.losses >= bounds.losses
    votes: dict[tuple[int, int], dict[int, float]] = {}
    for incarnation, claim in state.candidates:
        if claim is not None:
            votes[incarnation, claim.token] = dict(claim.votes)
            votes[incarnation, claim.successor] = dict(claim.successor_votes)
    return {message for message in state.messages if _is_live(state, message, votes, no_more_losses)}


def _is_live(
    state: State, message: Message, votes: dict[tuple[int, int], dict[int, float]], no_more_losses: bool
) -> bool:
    match message:
        case ("grant", acceptor, token, incarnation, requested_at):
            known_votes = votes.get((incarnation, token))
            return known_votes is not None and requested_at > known_votes.get(acceptor, -1.0)
        case ("request" | "release", index, token, *_):
            acceptor = state.acceptors[index]
            if no_more_losses and acceptor.responses is None:
                return bool(token >= max(acceptor.promise.token, acceptor.floor))
        case ("recovered", index, _, silent_until, *_):
            acceptor = state.acceptors[index]
            return acceptor.responses is not None and acceptor.silent_until == silent_until
    return True


def _renumbered_message(message: Message, new_numbers: dict[int, int]) -> Message:
    match message:
        case ("recovered", index, sender, *rest):
            return ("recovered", new_numbers[index], new_numbers[sender], *rest)
        case ("effect", *_):
            return message
        case (kind, index, *rest):
            return (kind, new_numbers[index], *rest)
    raise AssertionError(message)


def _renumbered_acceptor(acceptor: AcceptorState, new_numbers: dict[int, int]) -> AcceptorState:
    if acceptor.responses is None:
        return acceptor
    responses = tuple(
        sorted((new_numbers[sender], has_memory, highest) for sender, has_memory, highest in acceptor.responses)
    )
    return acceptor._replace(responses=responses)


def _renumbered_candidate(candidate: Candidate, new_numbers: dict[int, int]) -> Candidate:
    claim = candidate.claim
    if claim is None:
        return candidate
    votes = tuple(sorted((new_numbers[acceptor], requested_at) for acceptor, requested_at in claim.votes))
    successor_votes = tuple(
        sorted((new_numbers[acceptor], requested_at) for acceptor, requested_at in claim.successor_votes)
    )
    return candidate._replace(claim=Claim(claim.token, votes, claim.successor, successor_votes))


def _acceptor_key(acceptor: AcceptorState) -> tuple[Any, ...]:
    promise, floor, silent_until, responses = acceptor
    return (
        promise.token,
        promise.incarnation,
        promise.expires_at,
        promise.released,
        floor,
        silent_until,
        responses or (),
    )


def canonical(bounds: Bounds, state: State) -> State:
    """Return one state for all that differ only by the acceptors' numbers, without messages that have no effect any
    more."""
    by_order = [
        (tuple(_renumbered_acceptor(state.acceptors[old], new_numbers) for old in order), new_numbers)
        for order, new_numbers in ORDERS
    ]
    keys = [tuple(_acceptor_key(acceptor) for acceptor in acceptors) for acceptors, _ in by_order]
    least = min(keys)
    live = _live_messages(bounds, state)
    best: Any = None
    for (acceptors, new_numbers), key in zip(by_order, keys, strict=True):
        if key != least:
            continue  # not the least: its messages need not be renumbered
        messages = tuple(sorted(_renumbered_message(message, new_numbers) for message in live))
        candidates = tuple(_renumbered_candidate(candidate, new_numbers) for candidate in state.candidates)
        rest = (messages, tuple(candidate.claim or () for candidate in candidates))
        if best is None or rest < best[0]:
            best = (rest, acceptors, candidates, messages)
    _, acceptors, candidates, messages = best
    return state._replace(acceptors=acceptors, candidates=candidates, messages=messages)


# ---------------------------------------------------------------- the walk


def find_violation(rules: Rules, state: State) -> str:
    """Return the violation in a state; empty if there is none."""
    if sum(holds(rules, state.now, candidate.claim) for candidate in state.candidates) > 1:
        return "two hold at once"
    if state.newest_effect == OLDER_AFTER_NEWER:
        return "an effect under an older token after a newer one"
    return ""


def _nearness(rules: Rules, state: State) -> float:
    """Estimate how close a state is to one with two holders."""
    claims = [candidate.claim for candidate in state.candidates if candidate.claim is not None]
    votes = sum(
        len(claim.votes) + len(claim.successor_votes) + 3.0 * holds(rules, state.now, claim) for claim in claims
    )
    return votes + len(claims) + 4.0 * state.fence


def _present_holder(rules: Rules, state: State) -> tuple[int, int] | None:
    for incarnation, claim in state.candidates:
        if claim is not None and holds(rules, state.now, claim):
            return claim.token, incarnation
    return None


def walk(rules: Rules, bounds: Bounds, max_states: int = 10**9, most_votes_first: bool = False) -> tuple[int, str]:
    """Return the number of states walked and the first violation found, "" if there is none.

    `most_votes_first` visits states with the most votes first, which finds a mistake sooner; without a mistake all
    states are walked either way.
    """
    first = State()
    seen = {first}
    queue = [(0.0, 0, first)]
    while queue:
        _, _, state = heappop(queue)
        for next_state in steps(rules, bounds, state):
            if problem := find_violation(rules, next_state):
                return len(seen), problem
            holder = _present_holder(rules, next_state)
            if holder is not None and holder != next_state.last_holder:
                if holder[0] <= next_state.last_holder[0]:
                    return len(seen), f"token {holder[0]} holds after {next_state.last_holder[0]}"
                next_state = next_state._replace(last_holder=holder)
            next_state = canonical(bounds, next_state)
            if next_state not in seen:
                if len(seen) >= max_states:
                    return len(seen), TOO_MANY_STATES
                seen.add(next_state)
                heappush(queue, (-_nearness(rules, next_state) if most_votes_first else 0.0, len(seen), next_state))
    return len(seen), ""


# ---------------------------------------------------------------- mistakes


def _vote_at_any_time(promise: Promise, requested: Ballot, *rest: Any) -> Any:
    return ballots.vote(replace(promise, expires_at=0.0), requested, *rest)


def _vote_for_same_token(promise: Promise, requested: Ballot, *rest: Any) -> Any:
    if promise.token == requested.token:
        promise = replace(promise, incarnation=requested.incarnation)
    return ballots.vote(promise, requested, *rest)


def _restore_as_expired(promise: Promise, now: float, lease_s: float) -> Promise:
    return replace(promise, expires_at=now)


def _release_any(promise: Promise, released: Ballot) -> Promise:
    return replace(promise, released=True)


BASE = Bounds(time=3, tokens=2, renewals=0, restarts=0, losses=0, releases=0, effects=False)
SMALL = {"no faults": replace(BASE, time=2)}
LARGE = {
    "acceptors restart": replace(BASE, time=2, restarts=1),
    "an acceptor loses its disk": replace(BASE, losses=1),
    "a release": replace(BASE, time=2, releases=1),
    "effects": replace(BASE, time=2, effects=True),
    "a renewal": replace(BASE, time=2, renewals=1),
    "three campaigns": replace(BASE, time=2, campaigns=3, tokens=3),
    "a candidate restarts": replace(BASE, time=2, candidate_restarts=1),
    "more time": BASE,
}
NOW = replace(BASE, time=0)
MISTAKES: dict[str, tuple[Rules, Bounds]] = {
    "a vote is given while another stands": (Rules(vote=_vote_at_any_time), NOW),
    "an acceptor votes for two incarnations under one token": (Rules(vote=_vote_for_same_token), NOW),
    "votes are not persisted": (Rules(persists_votes=False), replace(NOW, restarts=1)),
    "a restarted acceptor treats its votes as expired": (Rules(restore=_restore_as_expired), replace(NOW, restarts=1)),
    "an acceptor without its memory votes at once": (
        Rules(recovered_floor=lambda responses, count: 0, silence_s=0.0),
        replace(NOW, losses=1),
    ),
    "an acceptor without its memory recovers without waiting": (Rules(silence_s=0.0), replace(NOW, losses=1)),
    "the lease counts from the response": (Rules(counts_from_response=True), replace(BASE, time=2)),
    "one vote is enough": (Rules(quorum=1), NOW),
    "the holder continues after the end of its lease": (Rules(stops_at_lease_end=False), replace(BASE, time=2)),
    "a late message releases a newer vote": (
        Rules(release=_release_any),
        replace(NOW, releases=1, campaigns=3, tokens=3),
    ),
    "the holder continues after its release": (Rules(drops_released_claim=False), replace(NOW, releases=1)),
    "the fence forgets its token": (Rules(fences=False), replace(NOW, effects=True, releases=1)),
}


def _case(bounds: Bounds) -> tuple[int, str]:
    return walk(Rules(), bounds)


def main() -> None:
    with ProcessPoolExecutor() as pool:
        cases = {**SMALL, **LARGE}
        for name, (count, problem) in zip(cases, pool.map(_case, cases.values()), strict=True):
            print(f"{name}: {count:,} states, {problem or 'nothing wrong'}", flush=True)
    for name, (rules, bounds) in MISTAKES.items():
        count, problem = walk(rules, bounds, most_votes_first=True)
        print(f"{name}: {problem or 'NOT FOUND'} after {count:,} states", flush=True)


if __name__ == "__main__":
    sys.exit(main())
