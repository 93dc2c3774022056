"""What migrators ask of a stand-in node; docs/node-wire.md describes the requests."""

from __future__ import annotations

import struct
from urllib.parse import parse_qs

import crc32c
import msgspec

from fawnspool.extents.object_replica import CommandArguments, ReplicaCommand
from fawnspool.extents.replicas import NO_FENCE, NO_SUCCESSOR, ReplicaRole
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.standins.deduplication import IdempotencyKeys, KnownKey
from fawnspool.standins.node_fence import NodeFence
from fawnspool.standins.object_replicas import ObjectReplicas
from fawnspool.standins.object_store import ObjectMetadata, ObjectStore, WriteOrigin

EXTENT_PATH = "/-/extent"
DATA_PATH = "/-/extent/data"
FENCE_PATH = "/-/fence"
MIGRATION_PATHS = (EXTENT_PATH, DATA_PATH, FENCE_PATH)
MAX_MIGRATED_BYTES = 64 << 20  # of an object: it is held whole on the way
_HEAD_LENGTH = struct.Struct(">I")
_STEP_START = len("/-/")  # a path's name in the recording follows
_COMMANDS_THAT_DELETE = (ReplicaCommand.DISCARD_DATA, ReplicaCommand.CANCEL)


class CorruptObjectError(ValueError):
    """A migrated object does not have the size or checksum that it was stored with."""

    def __init__(self) -> None:
        super().__init__("the object's bytes are not those that it was stored with")


class CommandRequest(
    msgspec.Struct,
    forbid_unknown_fields=True,
    rename={"command": "step", "successor": "to", "fence_position": "fence", "is_owner": "mine"},
):
    """A migrator's command; the fields keep their JSON names."""

    command: str
    generation: int
    successor: int = NO_SUCCESSOR
    fence_position: int = NO_FENCE
    is_owner: bool = False


class ObjectTransfer(msgspec.Struct, rename={"metadata": "meta", "keys": "claims"}):
    """What goes before an object's bytes; the fields keep their msgpack names.

    Attributes
    ----------
    position
        Of the source's replica before the object was read.
    metadata
        None: the object was deleted.
    keys
        Idempotency keys of the writes that changed it.
    """

    position: int
    metadata: ObjectMetadata | None
    keys: list[KnownKey]


class MigrationApi:
    """Answers migrators. What has an effect passes the fence first."""

    def __init__(
        self, store: ObjectStore, replicas: ObjectReplicas, fence: NodeFence, keys: dict[str, IdempotencyKeys]
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._fence = fence
        self._keys = keys

    def handle(self, exchange: Exchange, path: str, query: str, body: bytes) -> None:
        """Answer a request to one of `MIGRATION_PATHS`. Raises HttpError (400) for one that does not read."""
        try:
            self._handle(exchange, path, query, body)
        except (KeyError, ValueError, TypeError, msgspec.MsgspecError, struct.error) as error:
            raise HttpError(400, f"a mover's call does not read: {error}") from None

    def _handle(self, exchange: Exchange, path: str, query: str, body: bytes) -> None:
        fields = {name: values[0] for name, values in parse_qs(query, strict_parsing=True).items()}
        method = exchange.head.method
        if method in (b"POST", b"PUT") and self._is_fenced_off(exchange, path, fields, body):
            return
        if path == FENCE_PATH:
            exchange.respond(200, [], b"{}")
            return
        volume, key = fields["volume"], fields["key"]
        accepted = True
        if path == DATA_PATH:
            if method == b"GET":
                self._send_object(exchange, volume, key)
                return
            accepted = self._receive_object(volume, key, int(fields["generation"]), body)
        elif method == b"POST":
            accepted = self._execute(volume, key, _decode_command(body))
        self._send_replica(exchange, 200 if accepted else 409, volume, key)

    def _is_fenced_off(self, exchange: Exchange, path: str, fields: dict[str, str], body: bytes) -> bool:
        """Check a request's token. A stale one is answered here."""
        step = _decode_command(body).command if path == EXTENT_PATH else path[_STEP_START:]
        newest = self._fence.newer_token(fields, step)
        if newest is None:
            return False
        exchange.respond(403, [], msgspec.json.encode({"fenced": fields["duty"], "newest": newest}))
        return True

    def _execute(self, volume: str, key: str, request: CommandRequest) -> bool:
        command = ReplicaCommand.parse(request.command)
        arguments = CommandArguments(
            request.generation, request.successor, request.fence_position, is_owner=request.is_owner
        )
        accepted = self._replicas.execute(volume, key, command, arguments)
        if accepted and command in _COMMANDS_THAT_DELETE:
            self._store.delete(volume, key)  # after its row: a kill in between leaves data that nobody serves
        return accepted

    def _send_object(self, exchange: Exchange, volume: str, key: str) -> None:
        """Send an object to the node that takes it over. The position is read first: newer writes come again."""
        replica = self._replicas.get(volume, key)
        metadata = self._store.find(volume, key)
        if replica.role not in (ReplicaRole.OWNER, ReplicaRole.FENCED) or not replica.has_data:
            exchange.respond(409, [], b"")
            return
        size = 0 if metadata is None else metadata.size
        if size > MAX_MIGRATED_BYTES:
            exchange.respond(413, [], b"")
            return
        known = [row for scope, keys in self._keys.items() for row in keys.keys_of(scope, volume, key)]
        head = msgspec.msgpack.encode(ObjectTransfer(replica.position, metadata, known))
        data = b"" if metadata is None else b"".join(self._store.read(volume, key, 0, size))
        exchange.respond(200, [], _HEAD_LENGTH.pack(len(head)) + head + data)

    def _receive_object(self, volume: str, key: str, generation: int, body: bytes) -> bool:
        """Take a copy of an object. Returns False where the replica does not take it."""
        (length,) = _HEAD_LENGTH.unpack_from(body)
        head_end = _HEAD_LENGTH.size + length
        transfer = msgspec.msgpack.decode(body[_HEAD_LENGTH.size : head_end], type=ObjectTransfer)
        replica = self._replicas.get(volume, key)
        if replica.role is not ReplicaRole.FILLING or replica.generation != generation:
            return False
        if transfer.position < replica.position:
            return True  # a copy that was under way when a newer one came
        if transfer.metadata is None:
            self._store.delete(volume, key)
        else:
            self._store_copy(volume, key, transfer.metadata, body[head_end:])
        for known in transfer.keys:
            if known.scope in self._keys:
                self._keys[known.scope].adopt(known, volume, key)
        arguments = CommandArguments(generation, position=transfer.position)
        return self._replicas.execute(volume, key, ReplicaCommand.STORE_OBJECT, arguments)

    def _store_copy(self, volume: str, key: str, metadata: ObjectMetadata, data: bytes) -> None:
        if len(data) != metadata.size or crc32c.crc32c(data) != metadata.crc32c:
            raise CorruptObjectError
        draft = self._store.draft()
        draft.add(data)
        self._store.commit(draft, volume, key, WriteOrigin(metadata.idempotency_key, metadata.etag))

    def _send_replica(self, exchange: Exchange, status: int, volume: str, key: str) -> None:
        replica = self._replicas.get(volume, key)
        fields = {
            "role": replica.role.value,
            "generation": replica.generation,
            "position": replica.position,
            "to": replica.successor,
            "fence": replica.fence_position,
            "kept": replica.has_data,
        }
        exchange.respond(status, [], msgspec.json.encode(fields))


def _decode_command(body: bytes) -> CommandRequest:
    return msgspec.json.decode(body, type=CommandRequest)
