"""What the map service keeps for leased roles: the newest tokens shown to it, and the operators' requests."""

from __future__ import annotations

import time
from typing import Any

import lmdb
import msgspec

from fawnspool.leases.fencing import Fence

MAX_OPERATOR_REQUESTS = 1024
NO_GATEWAY = -1  # on the wire too
_TOKENS_TABLE = b"fences"
_REQUESTS_TABLE = b"wishes"


class TooManyRequestsError(ValueError):
    """No further operator request can be kept."""

    def __init__(self) -> None:
        super().__init__(f"over {MAX_OPERATOR_REQUESTS} wishes")


class RoleToken(msgspec.Struct, frozen=True, rename={"role": "duty", "incarnation": "who", "gateway_id": "head"}):
    """Under which token of which role a step is requested, by which incarnation of which gateway."""

    role: str
    token: int
    incarnation: int
    gateway_id: int = NO_GATEWAY


class RoleHolder(
    msgspec.Struct,
    frozen=True,
    rename={"role": "duty", "incarnation": "who", "gateway_id": "head", "shown_at": "at"},
):
    """Who showed a role's token last; its fields keep their stored names.

    Attributes
    ----------
    shown_at
        By this service's wall clock, seconds since 1970; for people.
    note
        What the holder says of its work.
    """

    role: str
    token: int
    incarnation: int
    gateway_id: int
    shown_at: float
    note: str = ""


class RoleRecords:
    """The tables of role holders and operator requests in the map service's file."""

    def __init__(self, environment: Any) -> None:
        self._environment: lmdb.Environment = environment
        self._tokens = environment.open_db(_TOKENS_TABLE)
        self._requests = environment.open_db(_REQUESTS_TABLE)
        self._fence = Fence((row.role, row.token, row.incarnation) for row in self.holders())

    def holders(self) -> list[RoleHolder]:
        """Return who showed a token last, by role."""
        with self._environment.begin() as transaction:
            rows = transaction.cursor(db=self._tokens)
            return [msgspec.msgpack.decode(raw, type=RoleHolder) for _, raw in rows]

    def admit(self, token: RoleToken, note: str = "") -> None:
        """Admit a role's step; its token is kept before anything is done.

        Parameters
        ----------
        token
            Of the step.
        note
            What the holder says of its work; empty: what it said last stands.

        Raises
        ------
        StaleTokenError, TooManyRolesError
            The step may not be done.
        """
        self._fence.admit(token.role, token.token, token.incarnation)
        holder = RoleHolder(token.role, token.token, token.incarnation, token.gateway_id, time.time(), note)
        key = token.role.encode()
        with self._environment.begin(write=True) as transaction:
            last = transaction.get(key, db=self._tokens)
            if not note and last:
                last_note = msgspec.msgpack.decode(last, type=RoleHolder).note
                holder = msgspec.structs.replace(holder, note=last_note)
            transaction.put(key, msgspec.msgpack.encode(holder), db=self._tokens)

    def set_operator_request(self, name: str, value: str | None) -> None:
        """Keep an operator's request; None takes it back. Raises TooManyRequestsError."""
        key = name.encode()
        with self._environment.begin(write=True) as transaction:
            if value is None:
                transaction.delete(key, db=self._requests)
                return
            is_full = transaction.stat(self._requests)["entries"] >= MAX_OPERATOR_REQUESTS
            if is_full and not transaction.get(key, db=self._requests):
                raise TooManyRequestsError
            transaction.put(key, value.encode(), db=self._requests)

    def operator_requests(self) -> dict[str, str]:
        """Return the operators' requests by name."""
        with self._environment.begin() as transaction:
            return {key.decode(): raw.decode() for key, raw in transaction.cursor(db=self._requests)}
