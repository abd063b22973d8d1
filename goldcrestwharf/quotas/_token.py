"""Tokens, each of which permits one request to run."""

import attrs

from goldcrestwharf.quotas._account import Allotment

#: Seconds after which an unused token expires.
_LIFETIME_S = 1.0


@attrs.frozen(kw_only=True, eq=False)
class Token:
    """Permission to run one request, from ``due_at`` on (monotonic seconds).

    ``coordinator`` is the daemon that granted it.
    """

    workspace: str
    coordinator: str
    due_at: float

    def is_fresh(self, now: float) -> bool:
        """Return whether the token has not expired."""
        return now - self.due_at <= _LIFETIME_S


@attrs.frozen(kw_only=True)
class Grant:
    """Tokens of one workspace from one coordinator."""

    workspace: str
    coordinator: str
    allotment: Allotment

    def make_token(self, index: int, now: float) -> Token:
        """Return one of the tokens, counted from zero."""
        return Token(
            workspace=self.workspace,
            coordinator=self.coordinator,
            due_at=now + self.allotment.find_wait(index),
        )
