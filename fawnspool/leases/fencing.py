"""Fencing where effects happen: a node or the map service takes a step of a role only under the newest token it knows.

A lease alone is never the safety, as a holder may be stopped between its look at the clock and its step. A place that
has seen no step under a newer token still takes an older one. A new holder therefore shows its token to every place
that it will touch, and touches none that has not taken it. Two incarnations with one token can only come of acceptors
that forgot or differ; then the first incarnation that a place saw has it there.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_ROLES = 4096  # that one place remembers: it may not forget any, so it takes no more


class StaleTokenError(Exception):
    """A place has seen a newer token, or another incarnation with the same one.

    Attributes
    ----------
    role : str
        Name of the role.
    newest : int
        The newest token that the place has seen.
    """

    def __init__(self, role: str, newest: int) -> None:
        super().__init__(f"{role}: a newer holder has been here, with token {newest}")
        self.role = role
        self.newest = newest


class TooManyRolesError(ValueError):
    """A place can remember no further role."""

    def __init__(self) -> None:
        super().__init__(f"over {MAX_ROLES} duties")


class Fence:
    """The newest tokens that one place has seen.

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
        """Check a step's token and remember it.

        Returns
        -------
        bool
            Whether the token is new here, so that the caller must record it before doing the step.

        Raises
        ------
        StaleTokenError
            If a newer token, or another incarnation with this one, was here.
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
