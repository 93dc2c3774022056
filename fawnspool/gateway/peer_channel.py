"""Typed messages of one subsystem over the gateways' peer socket.

The leading byte of a datagram body identifies its subsystem. A body that can't be decoded is counted and dropped; if
the handler of a message raises, that is logged and the message dropped.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from fawnspool.gateway.peers import PeerSocket
from fawnspool.telemetry.logs import EventLogger

MessageT = TypeVar("MessageT")


@dataclass(frozen=True)
class FleetPlace:
    """This gateway's place in the fleet: its number, the number of gateways, and the seed of its random draws."""

    gateway_id: int
    gateway_count: int
    seed: int


@dataclass(frozen=True)
class PeerCodec(Generic[MessageT]):
    """The datagram format of a subsystem's messages; `decode` raises `malformed` for any other body."""

    subsystem: str
    leading_byte: int
    encode: Callable[[MessageT], bytes]
    decode: Callable[[bytes], MessageT]
    malformed: type[Exception]


class PeerChannel(Generic[MessageT]):
    """One subsystem's messages to and from the other gateways."""

    def __init__(self, peers: PeerSocket, codec: PeerCodec[MessageT], log: EventLogger) -> None:
        self.peers = peers
        self.codec = codec
        self.log = log
        self.malformed_count = 0

    def subscribe(self, handler: Callable[[int, MessageT], None]) -> None:
        """Call `handler(sender, message)` for each message."""

        def receive(sender: int, body: bytes) -> None:
            try:
                message = self.codec.decode(body)
            except self.codec.malformed as error:
                self.malformed_count += 1
                self.log.debug(
                    "peer_message_malformed", subsystem=self.codec.subsystem, sender=sender, reason=str(error)
                )
                return
            try:
                handler(sender, message)
            except Exception:  # an error in one handler must not end the peer socket
                self.log.error("peer_message_failed", subsystem=self.codec.subsystem, sender=sender, exc_info=True)

        self.peers.subscribe(self.codec.leading_byte, receive)

    def send(self, recipient: int, message: MessageT) -> None:
        """Send a message to one gateway, by its number."""
        self.peers.send(recipient, self.codec.encode(message))
