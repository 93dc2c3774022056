"""Messages between gateways that transfer units of a volume's rate limit."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

CLOCK_PERIOD_MS = 2**32  # the time fields of messages wrap around at this value


def clock_ms(now: float) -> int:
    """Return a time in seconds in the format of messages: milliseconds modulo the clock period."""
    return int(now * 1000) & (CLOCK_PERIOD_MS - 1)


class TransferKind(IntEnum):
    """The kind of a transfer message; the values are those on the wire."""

    REQUEST = 1
    GRANT = 2


@dataclass(frozen=True, slots=True)
class TransferMessage:
    """A request for units of a volume's rate limit, or a grant of them.

    Attributes
    ----------
    kind : int
        A TransferKind, or a value unknown to this version.
    requested_at_ms : int
        When the borrower requested the units, on the borrower's clock.
    """

    kind: int
    volume: int
    units: float
    requested_at_ms: int

    LAYOUT = struct.Struct(">BQfI")

    def age_ms(self, now: float) -> int:
        """Return how long ago the units were requested; `now` is read from the borrower's clock."""
        return (int(now * 1000) - self.requested_at_ms) % CLOCK_PERIOD_MS

    def encode(self) -> bytes:
        """Return the message in its wire format."""
        return self.LAYOUT.pack(self.kind, self.volume, self.units, self.requested_at_ms)

    @classmethod
    def decode(cls, body: bytes) -> TransferMessage | None:
        """Decode a message; None if the body does not have the length of a transfer message."""
        return cls(*cls.LAYOUT.unpack(body)) if len(body) == cls.LAYOUT.size else None
