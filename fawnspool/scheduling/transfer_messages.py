"""Messages between gateways about units of a volume's rate limit."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

CLOCK_PERIOD_MS = 2**32  # clocks of messages count so far


def clock_ms(now: float) -> int:
    """Return a time in seconds as messages have it."""
    return int(now * 1000) & (CLOCK_PERIOD_MS - 1)


class TransferKind(IntEnum):
    """What a transfer message says, as on the wire."""

    REQUEST = 1
    GRANT = 2


@dataclass(frozen=True, slots=True)
class TransferMessage:
    """One message about units of a volume's limit.

    Attributes
    ----------
    kind : int
        A TransferKind, or a value that this version doesn't know.
    requested_at_ms : int
        When the units were asked for, on the borrower's clock.
    """

    kind: int
    volume: int
    units: float
    requested_at_ms: int

    LAYOUT = struct.Struct(">BQfI")

    def age_ms(self, now: float) -> int:
        """Return how long ago the units were asked for, at the gateway that asked for them."""
        return (int(now * 1000) - self.requested_at_ms) % CLOCK_PERIOD_MS

    def encode(self) -> bytes:
        """Return it as on the wire."""
        return self.LAYOUT.pack(self.kind, self.volume, self.units, self.requested_at_ms)

    @classmethod
    def decode(cls, body: bytes) -> TransferMessage | None:
        """Read it from the wire; None where the length is another message's."""
        return cls(*cls.LAYOUT.unpack(body)) if len(body) == cls.LAYOUT.size else None
