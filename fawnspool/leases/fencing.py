"""Fencing at nodes and the map service: each rejects a role's step if it has seen a newer token than the step's.

A lease alone is not safe, as a holder may be stopped between its check of the clock and its step. A service that has
seen no newer token still accepts an older one. A new holder therefore shows its token to every service that it will
change, and sends no step to one that has not accepted the token. Two incarnations get the same token only if acceptors
lost their memory or have different settings; a service then accepts only the incarnation that it saw first.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_ROLES = 4096  # whose tokens one service remembers: it must not forget any of them, so it rejects further roles


class StaleTokenError(Exception):
    """The service has seen a newer token, or another incarnation with the same one.

    Attributes
    ----------
    role : str
        Name of the role.
    newest : int
        The newest token that the service has seen.
    """

    def __init__(self, role: str, newest: int) -> None:
        super().__init__(f"stale token for role {role}: the newest token seen is {newest}")
        self.role = role
        self.newest = newest


class TooManyRolesError(ValueError):
    """The service can remember no further role."""

    def __init__(self) -> None:
        super().__init__(f"no further role can be fenced: the limit is {MAX_ROLES} roles")


class Fence:
    """The newest tokens that one service has seen.

    Parameters
    ----------
    rows
        Role, token and incarnation of each step that was recorded.
    """

    def __init__(self, rows: Iterable[tuple[str, int, int]] = ()) -> None:
        self.newest: dict[str, tuple[int, int]] = {}
        for role, token, incarnation in rows:
            if (token, incarnation) > self.newest.get(role, (0, 0)):
                self.newest[role] = (token, incarnation)

    def admit(self, role: str, token: int, incarnation: int) -> bool:
        """Check the token of a step and remember it.

        Returns
        -------
        bool
            Whether the token is new here, so that the caller must record it before doing the step.

        Raises
        ------
        StaleTokenError
            If a newer token, or another incarnation with this one, was seen here.
        TooManyRolesError
            If the role is new and no further one can be remembered.
        """
        newest_token, newest_incarnation = self.newest.get(role, (0, 0))
        is_same_token = token == newest_token
        if token < newest_token or (is_same_token and incarnation != newest_incarnation):
            raise StaleTokenError(role, newest_token)
        if is_same_token:
            return False
        if role not in self.newest and len(self.newest) >= MAX_ROLES:
            raise TooManyRolesError
        self.newest[role] = (token, incarnation)
        return True
