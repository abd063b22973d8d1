"""Place of a connection among those that a process may have."""

from collections.abc import Callable

import attrs

#: Order in which connections are closed to make room for others, lowest first.
_CLOSING_RANK = 0
_UNUSED_RANK = 1
_KEPT_RANK = 2
_INCOMPLETE_RANK = 3
_UNREAD_RANK = 4


@attrs.define(kw_only=True, eq=False)
class ConnSlot:
    """Place of a connection, which may have to give way to others.

    ``drop`` closes the connection at once. ``find_incomplete_since`` returns
    when the request that is being received began, and ``is_busy`` whether
    others wait or are in progress. ``has_unsent`` returns whether an answer
    is still being read. ``idle_since`` is the time, in seconds, of
    the last answer, or of the begin of the connection.
    """

    drop: Callable[[], None]
    find_incomplete_since: Callable[[], float | None]
    is_busy: Callable[[], bool]
    has_unsent: Callable[[], bool]
    idle_since: float
    has_served: bool = False
    is_closing: bool = False

    def find_rank(self) -> tuple[int, float] | None:
        """Return the order in which connections are closed, lowest first.

        Those with a request in progress have none.
        """
        if self.is_busy():
            return None
        if self.has_unsent():
            return _UNREAD_RANK, self.idle_since
        if self.is_closing:
            return _CLOSING_RANK, self.idle_since
        incomplete_since = self.find_incomplete_since()
        if incomplete_since is not None:
            return _INCOMPLETE_RANK, incomplete_since
        rank = _KEPT_RANK if self.has_served else _UNUSED_RANK
        return rank, self.idle_since

    def release(self) -> None:
        """Drop the references to the connection, which form a cycle."""
        self.drop = _do_nothing
        self.find_incomplete_since = _do_nothing
        self.is_busy = bool
        self.has_unsent = bool


def _do_nothing() -> None:
    """Close nothing."""
