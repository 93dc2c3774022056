"""The headers between heads and nodes; docs/node-wire.md describes them. Reads and writes, decides nothing."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote, unquote

CALL, TOLD, MOVED = b"fawn-call", b"fawn-told", b"fawn-moved"


@dataclass(slots=True)
class Call:
    """What a head says of an attempt. window and left in seconds."""

    head: int
    ident: int
    attempt: int
    cls: int
    units: float
    extent: int
    effect: str
    group: str
    window: float
    left: float
    op: str  # the client's name for the operation
    key: str  # idempotency key; "": none

    def pack(self) -> bytes:
        return (
            f"{self.head};{self.ident};{self.attempt};{self.cls};{self.units:g};{self.extent:x};{self.effect};"
            f"{self.group};{self.window * 1000:.0f};{self.left * 1000:.0f};{self.op};{self.key}"
        ).encode()


def read_call(raw: bytes) -> Call:
    """Raises ValueError where the field does not read."""
    part = raw.decode("ascii").split(";")
    if len(part) != 12:
        raise ValueError(f"fawn-call has {len(part)} parts, expected 12")
    return Call(
        int(part[0]),
        int(part[1]),
        int(part[2]),
        int(part[3]),
        float(part[4]),
        int(part[5], 16),
        part[6],
        part[7],
        float(part[8]) / 1000,
        float(part[9]) / 1000,
        part[10],
        part[11],
    )


@dataclass(slots=True)
class Told:
    """What a node tells with each answer. use: the volume's units a second everywhere; None: no figure."""

    others: int = 0
    use: float | None = None
    load: tuple[float, ...] = ()
    full: bool = False

    def pack(self) -> bytes:
        use = "" if self.use is None else f"{self.use:.4g}"
        return f"{self.others};{use};{','.join(f'{x:.4g}' for x in self.load)};{int(self.full)}".encode()


def read_told(raw: bytes | None) -> Told:
    """Raises ValueError where the field does not read."""
    if raw is None:
        return Told()
    others, use, load, full = raw.decode("ascii").split(";")
    return Told(
        int(others), float(use) if use else None, tuple(float(x) for x in load.split(",")) if load else (), full == "1"
    )


def read_moved(raw: bytes | None) -> tuple[int, int] | None:
    """(cell, generation) that an extent has moved to; None where that is not said."""
    cell, _, generation = (raw or b"").partition(b";")
    return (int(cell), int(generation)) if cell.isdigit() and generation.isdigit() and len(raw or b"") < 32 else None


def target(volume: str, key: str) -> bytes:
    return f"/o/{quote(volume, safe='')}/{quote(key, safe='')}".encode()


def read_target(raw: bytes) -> tuple[str, str, str]:
    """(volume, key, query). Raises ValueError."""
    path, _, query = raw.decode("ascii").partition("?")
    part = path.split("/")
    if len(part) != 4 or part[1] != "o":
        raise ValueError(f"no such place: {path[:80]}")
    return unquote(part[2]), unquote(part[3]), query
