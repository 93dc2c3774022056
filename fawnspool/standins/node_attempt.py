"""An attempt at a stand-in node, and the recording of what becomes of it.

The rows of a recording, frame by frame as things happen:

    {"k": "up", ...}         the node has started (cold or warm), with its power
    {"k": "in", ...}         an attempt has wholly arrived
    {"k": "did", ...}        its effect was applied (a repeat that was dropped says so)
    {"k": "elsewhere", ...}  it was redirected, as another node serves the extent or none does yet
    {"k": "out", ...}        its response was handed to the kernel (or swallowed by a fault)
    {"k": "fell", ...}       the node collapsed under the rule for cold nodes
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.node_headers import ATTEMPT_HEADER, AttemptHeader, parse_attempt_header, parse_object_target
from fawnspool.records.frames import FrameWriter

PUT = b"PUT"
DELETE = b"DELETE"


@dataclass(frozen=True, slots=True)
class NodeAttempt:
    """One attempt of a gateway.

    Attributes
    ----------
    header
        What the gateway says of it.
    volume, key, query
        Of the request's target.
    """

    exchange: Exchange
    header: AttemptHeader
    volume: str
    key: str
    query: str

    @property
    def method(self) -> bytes:
        """Of the request."""
        return self.exchange.head.method

    @property
    def writes(self) -> bool:
        """Does it change its object?"""
        return self.method in (PUT, DELETE)

    @property
    def fields(self) -> dict[bytes, bytes]:
        """The request's header fields."""
        return self.exchange.head.headers


def read_attempt(exchange: Exchange) -> NodeAttempt:
    """Read what a request asks for. Raises HttpError (400)."""
    head = exchange.head
    try:
        volume, key, query = parse_object_target(head.target)
        header = parse_attempt_header(head.headers.get(ATTEMPT_HEADER, b""))
    except ValueError as error:
        raise HttpError(400, str(error)) from None
    return NodeAttempt(exchange, header, volume, key, query)


class NodeRecorder:
    """Writes what passes a node's sockets into a recording, if there is one."""

    def __init__(self, node: int, writer: FrameWriter | None) -> None:
        self._node = node
        self._writer = writer

    def note(self, kind: str, **fields: Any) -> None:
        """Write a row."""
        if self._writer is not None:
            self._writer.put({"k": kind, "t": time.monotonic(), "node": self._node, **fields})

    def arrived(self, attempt: NodeAttempt) -> None:
        """Note that an attempt has wholly arrived."""
        header = attempt.header
        self.note(
            "in",
            head=header.gateway_id,
            id=header.request_id,
            n=header.attempt,
            cls=header.class_index,
            units=header.units,
            op=header.operation,
            vol=attempt.volume,
            x=header.extent,
            e=header.idempotence,
            w=attempt.writes,
            m=attempt.method.decode(),
        )

    def applied(self, attempt: NodeAttempt, repeat: bool = False) -> None:
        """Note that an attempt's effect was applied, or dropped as that of a repeat."""
        header = attempt.header
        self.note(
            "did",
            head=header.gateway_id,
            id=header.request_id,
            n=header.attempt,
            op=header.operation,
            e=header.idempotence,
            dropped=repeat,
        )

    def responded(self, attempt: NodeAttempt, status: int, **fields: Any) -> None:
        """Note that an attempt's response is out, or lost to a fault."""
        header = attempt.header
        self.note(
            "out",
            head=header.gateway_id,
            id=header.request_id,
            n=header.attempt,
            op=header.operation,
            s=status,
            **fields,
        )
