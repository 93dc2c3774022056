"""Response of a node or the map service that rejects a step because it has seen a newer fencing token."""

from __future__ import annotations

import msgspec

from fawnspool.leases.fencing import StaleTokenError

FENCED_STATUS = 403


class FencingReply(msgspec.Struct):
    """Body of a response with `FENCED_STATUS`: a leased role, and the newest token seen for it."""

    role: str = msgspec.field(name="fenced")
    newest_token: int = msgspec.field(name="newest")

    def error(self) -> StaleTokenError:
        """Return the error to raise."""
        return StaleTokenError(self.role, self.newest_token)
