"""Encoding and parsing of the headers between gateways and nodes, which docs/node-wire.md describes."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote, unquote

ATTEMPT_HEADER = b"fawn-call"
REPORT_HEADER = b"fawn-told"
MOVED_HEADER = b"fawn-moved"
_ATTEMPT_PARTS = 12
_TARGET_PARTS = 4  # the empty part before the first slash, "o", volume, key
_MAX_MOVED_BYTES = 31
_MS_PER_S = 1000


@dataclass(slots=True)
class AttemptHeader:
    """What a gateway sends to a node about an attempt, in the header `fawn-call`.

    Attributes
    ----------
    units
        Size of the request in units of work.
    idempotence, deduplication_scope
        Values of the enumerations of `fawnspool.scheduling.interface`.
    deduplication_window_s, time_left_s
        In seconds here; the header carries milliseconds.
    operation
        The client's identifier of the operation.
    idempotency_key
        Empty if there is none.
    """

    gateway_id: int
    request_id: int
    attempt: int
    class_index: int
    units: float
    extent: int
    idempotence: str
    deduplication_scope: str
    deduplication_window_s: float
    time_left_s: float
    operation: str
    idempotency_key: str

    def encode(self) -> bytes:
        """Return the header's value."""
        return (
            f"{self.gateway_id};{self.request_id};{self.attempt};{self.class_index};{self.units:g};{self.extent:x};"
            f"{self.idempotence};{self.deduplication_scope};{self.deduplication_window_s * _MS_PER_S:.0f};"
            f"{self.time_left_s * _MS_PER_S:.0f};{self.operation};{self.idempotency_key}"
        ).encode()


def parse_attempt_header(raw: bytes) -> AttemptHeader:
    """Parse the header's value. Raises ValueError if it is malformed."""
    parts = raw.decode("ascii").split(";")
    if len(parts) != _ATTEMPT_PARTS:
        text = f"fawn-call header has {len(parts)} parts, expected {_ATTEMPT_PARTS}"
        raise ValueError(text)
    return AttemptHeader(
        gateway_id=int(parts[0]),
        request_id=int(parts[1]),
        attempt=int(parts[2]),
        class_index=int(parts[3]),
        units=float(parts[4]),
        extent=int(parts[5], 16),
        idempotence=parts[6],
        deduplication_scope=parts[7],
        deduplication_window_s=float(parts[8]) / _MS_PER_S,
        time_left_s=float(parts[9]) / _MS_PER_S,
        operation=parts[10],
        idempotency_key=parts[11],
    )


@dataclass(slots=True)
class NodeReport:
    """What a node reports with each response, in the header `fawn-told`.

    Attributes
    ----------
    served_elsewhere
        Units of the volume that the node has served for other gateways since its last response to this gateway.
    volume_units_per_s
        Units per second that all gateways together use of the volume; None: not reported.
    load
        The fields of the node's load report, in the order of the settings.
    overloaded
        The node rejected the request without running it, because it is full or draining.
    """

    served_elsewhere: int = 0
    volume_units_per_s: float | None = None
    load: tuple[float, ...] = ()
    overloaded: bool = False

    def encode(self) -> bytes:
        """Return the header's value."""
        use = "" if self.volume_units_per_s is None else f"{self.volume_units_per_s:.4g}"
        load = ",".join(f"{value:.4g}" for value in self.load)
        return f"{self.served_elsewhere};{use};{load};{int(self.overloaded)}".encode()


def parse_node_report(raw: bytes | None) -> NodeReport:
    """Parse the header's value; None: the response has no such header. Raises ValueError if it is malformed."""
    if raw is None:
        return NodeReport()
    served_elsewhere, use, load, overloaded = raw.decode("ascii").split(";")
    return NodeReport(
        served_elsewhere=int(served_elsewhere),
        volume_units_per_s=float(use) if use else None,
        load=tuple(float(value) for value in load.split(",")) if load else (),
        overloaded=overloaded == "1",
    )


def parse_moved(raw: bytes | None) -> tuple[int, int] | None:
    """Return the (shard, generation) that an extent has moved to; None if the header is missing or malformed."""
    if raw is None or len(raw) > _MAX_MOVED_BYTES:
        return None
    shard, _, generation = raw.partition(b";")
    if not shard.isdigit() or not generation.isdigit():
        return None
    return int(shard), int(generation)


def object_target(volume: str, key: str) -> bytes:
    """Return the request target of an object."""
    return f"/o/{quote(volume, safe='')}/{quote(key, safe='')}".encode()


def parse_object_target(raw: bytes) -> tuple[str, str, str]:
    """Return (volume, key, query) of a request target. Raises ValueError."""
    path, _, query = raw.decode("ascii").partition("?")
    parts = path.split("/")
    if len(parts) != _TARGET_PARTS or parts[1] != "o":
        text = f"unknown request path: {path[:80]}"
        raise ValueError(text)
    return unquote(parts[2]), unquote(parts[3]), query
