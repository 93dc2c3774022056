"""The effects of attempts on a stand-in node's objects."""

from __future__ import annotations

from pathlib import Path

from fawnspool.net.exceptions import RangeNotSatisfiableError
from fawnspool.net.node_headers import MOVED_HEADER, AttemptHeader
from fawnspool.net.ranges import etag_matches, parse_range
from fawnspool.scheduling.interface import DeduplicationScope, Idempotence
from fawnspool.standins.deduplication import IdempotencyKeys, PriorClaim
from fawnspool.standins.node_attempt import NodeAttempt, NodeRecorder
from fawnspool.standins.node_responses import MISDIRECTED, TOO_EARLY, NodeResponse, StreamedResponse
from fawnspool.standins.object_replicas import ObjectReplicas
from fawnspool.standins.object_store import ObjectDraft, ObjectMetadata, ObjectStore, WriteOrigin

_MAX_WHOLE_BODY_BYTES = 1 << 18  # longer ones are streamed
_METADATA_QUERY = "stat"


class NodeObjects:
    """Reads, writes and deletes objects.

    Parameters
    ----------
    keys
        Idempotency keys by scope.
    """

    def __init__(
        self,
        store: ObjectStore,
        replicas: ObjectReplicas,
        keys: dict[str, IdempotencyKeys],
        recorder: NodeRecorder,
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._keys = keys
        self._recorder = recorder

    def redirect(self, attempt: NodeAttempt, arrived_at: float, moved: bool) -> NodeResponse:
        """Do nothing: another node serves the extent (421), or none does yet (425).

        Parameters
        ----------
        attempt
            The attempt to redirect.
        arrived_at
            When it had wholly arrived (monotonic seconds).
        moved
            Whether the replica redirects to a successor.
        """
        volume, key = attempt.volume, attempt.key
        replica = self._replicas.get(volume, key)
        names_successor = moved and replica.successor >= 0
        self._recorder.note(
            "elsewhere",
            head=attempt.header.gateway_id,
            came=arrived_at,
            vol=volume,
            key=key,
            gen=replica.generation if names_successor else -1,
        )
        if not names_successor:
            return NodeResponse(TOO_EARLY, reason="elsewhere")
        moved_to = b"%d;%d" % (replica.successor, replica.generation)
        return NodeResponse(MISDIRECTED, [(MOVED_HEADER, moved_to)], reason="elsewhere")

    def put(self, attempt: NodeAttempt, draft: ObjectDraft) -> NodeResponse:
        """Store an object; the draft is committed or dropped."""
        previous = self._store.find(attempt.volume, attempt.key)
        header = attempt.header
        keys = self._keys_for(header)
        claim = None
        if keys is not None:
            claim = keys.claim(header.idempotency_key, header.deduplication_window_s)
        if claim is not None:
            claim = _resolve_unfinished(claim, header, previous)
        if claim is not None:
            draft.drop()
            return self._answer_repeat(attempt, claim)
        if _precondition_fails(attempt, previous):
            draft.drop()
            if keys is not None:
                keys.release(header.idempotency_key)
            return NodeResponse(412)
        return self._store_object(attempt, draft, keys, is_new=previous is None)

    def delete(self, attempt: NodeAttempt) -> NodeResponse:
        """Delete an object."""
        volume, key = attempt.volume, attempt.key
        if _precondition_fails(attempt, self._store.find(volume, key)):
            return NodeResponse(412)
        self._replicas.count_write(volume, key)
        existed = self._store.delete(volume, key)
        self._recorder.applied(attempt)
        return NodeResponse(204 if existed else 404)

    def get(self, attempt: NodeAttempt) -> NodeResponse | StreamedResponse:
        """Read an object, a range of it or its metadata."""
        metadata = self._store.find(attempt.volume, attempt.key)
        if metadata is None:
            return NodeResponse(404)
        etag_field = _etag_field(metadata.etag)
        if _if_match_fails(attempt, metadata.etag):
            return NodeResponse(412, [etag_field])
        if _if_none_match_fails(attempt, metadata.etag):
            return NodeResponse(304, [etag_field])
        if attempt.query == _METADATA_QUERY:
            return NodeResponse(200, [etag_field, (b"Fawn-Size", b"%d" % metadata.size)])
        return self._get_range(attempt, metadata)

    def _get_range(self, attempt: NodeAttempt, metadata: ObjectMetadata) -> NodeResponse | StreamedResponse:
        """Read the range asked for, else the whole object."""
        etag_field = _etag_field(metadata.etag)
        try:
            wanted = _requested_range(attempt, metadata.size)
        except RangeNotSatisfiableError:
            return NodeResponse(416, [etag_field, (b"Content-Range", b"bytes */%d" % metadata.size)])
        if wanted is None:
            return self._read(attempt, 200, [etag_field], 0, metadata.size)
        start, length = wanted
        content_range = b"bytes %d-%d/%d" % (start, start + length - 1, metadata.size)
        return self._read(attempt, 206, [etag_field, (b"Content-Range", content_range)], start, length)

    def _read(
        self, attempt: NodeAttempt, status: int, headers: list[tuple[bytes, bytes]], start: int, length: int
    ) -> NodeResponse | StreamedResponse:
        pieces = self._store.read(attempt.volume, attempt.key, start, length)
        if length <= _MAX_WHOLE_BODY_BYTES:
            return NodeResponse(status, headers, b"".join(pieces))
        return StreamedResponse(status, headers, pieces, length)

    def _keys_for(self, header: AttemptHeader) -> IdempotencyKeys | None:
        """Return the keys of an attempt's scope; None: its repeats are not dropped."""
        if header.idempotence != Idempotence.WITH_KEY.value or not header.idempotency_key:
            return None
        return self._keys.get(header.deduplication_scope)

    def _answer_repeat(self, attempt: NodeAttempt, claim: PriorClaim) -> NodeResponse:
        """Answer a repeat as its first attempt was; an error while that one has not completed."""
        if claim.etag is None:
            return NodeResponse(500)
        self._recorder.applied(attempt, repeat=True)
        return NodeResponse(200, [_etag_field(claim.etag)])

    def _store_object(
        self, attempt: NodeAttempt, draft: ObjectDraft, keys: IdempotencyKeys | None, is_new: bool
    ) -> NodeResponse:
        volume, key, idempotency_key = attempt.volume, attempt.key, attempt.header.idempotency_key
        self._replicas.count_write(volume, key)
        origin = WriteOrigin(
            idempotency_key=idempotency_key if keys is not None else "",
            generation=self._replicas.get(volume, key).generation,
        )
        metadata = self._store.commit(draft, volume, key, origin)
        if keys is not None:
            keys.complete(idempotency_key, metadata.etag, volume, key)
        self._recorder.applied(attempt)
        return NodeResponse(201 if is_new else 200, [_etag_field(metadata.etag)])


def keys_by_scope(folder: Path, node: int, zone: str) -> dict[str, IdempotencyKeys]:
    """Return the idempotency keys of a node's groups, each in its folder."""
    return {
        DeduplicationScope.SHARD.value: IdempotencyKeys(folder / f"cell-{node}"),
        DeduplicationScope.ZONE.value: IdempotencyKeys(folder / f"zone-{zone}"),
        DeduplicationScope.ALL.value: IdempotencyKeys(folder / "all"),
    }


def _resolve_unfinished(claim: PriorClaim, header: AttemptHeader, previous: ObjectMetadata | None) -> PriorClaim | None:
    """Find out what a claim left whose write is not known to have completed; None: it left nothing."""
    if claim.etag is not None:
        return claim
    if previous is not None and previous.idempotency_key == header.idempotency_key:
        return PriorClaim(previous.etag)
    if header.deduplication_scope == DeduplicationScope.SHARD.value:
        return None  # this node alone has the keys, so it was killed before the write
    return claim


def _requested_range(attempt: NodeAttempt, size: int) -> tuple[int, int] | None:
    """Return (start, length); None: the whole object. Raises RangeNotSatisfiableError."""
    field = attempt.fields.get(b"range")
    return None if field is None else parse_range(field.decode("latin-1"), size)


def _precondition_fails(attempt: NodeAttempt, previous: ObjectMetadata | None) -> bool:
    etag = None if previous is None else previous.etag
    return _if_match_fails(attempt, etag) or _if_none_match_fails(attempt, etag)


def _if_match_fails(attempt: NodeAttempt, etag: str | None) -> bool:
    field = attempt.fields.get(b"if-match")
    return field is not None and not etag_matches(field.decode("latin-1"), etag, weak=False)


def _if_none_match_fails(attempt: NodeAttempt, etag: str | None) -> bool:
    field = attempt.fields.get(b"if-none-match")
    return field is not None and etag_matches(field.decode("latin-1"), etag, weak=True)


def _etag_field(etag: str) -> tuple[bytes, bytes]:
    return b"ETag", f'"{etag}"'.encode()
