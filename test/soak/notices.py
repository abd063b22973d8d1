"""What a target says about itself in its answers, and whether it is met."""

import time
from collections.abc import Callable
from http import HTTPStatus

import attrs

from test.soak.records import Records

#: The platform's bounds: seconds from the first answer with a limit, length of
#: a window in seconds, and what a window may hold beyond the limit.
_CONTACT_S = 3.0
_WINDOW_S = 4.0
_WINDOW_FACTOR = 1.5
_WINDOW_SLACK = 5

#: Seconds until a leaving target gets nothing more, and the longest time that
#: a request takes from its caller to a target.
_DRAIN_TIMEOUT_S = 2.0
_ROUTE_TIMEOUT_S = 0.7


@attrs.define(kw_only=True)
class Notices:
    """Notices of one target; a ``limit`` of zero means none.

    ``drained_at`` is when its heartbeat that it drains was acknowledged.

    Each run is checked against them. A leaving target is checked once a
    caller got an answer that said so, and while the daemon beside it is the
    one that was told.
    """

    name: str
    records: Records
    limit: float = 0
    drained_at: float | None = None
    _limited_since: float = 0
    _checked_limit: float = 0
    _runs: list[float] = attrs.field(factory=list)
    _is_leaving: bool = False
    _told_at: float = 0
    _told_by: list[str] = attrs.field(factory=list)
    _left_in: int = 0
    _count_starts: Callable[[], int] = int

    def leave(self, count_starts: Callable[[], int]) -> None:
        """Leave; ``count_starts`` counts the starts of the daemon."""
        self._count_starts = count_starts
        self._left_in = count_starts()
        self._is_leaving = True

    def reset(self) -> None:
        """Begin as another process."""
        self._is_leaving = False
        self._told_at = 0
        self._told_by.clear()
        self.drained_at = None

    def render(self, request_id: str) -> bytes:
        """Return the header lines of the answer to a request."""
        if self._limited_since == 0 or self.limit != self._checked_limit:
            self._limited_since = time.monotonic()
            self._checked_limit = self.limit
            self._runs.clear()
        lines = []
        if self.limit:
            lines.append(b'Server-Limit: %.2f\r\n' % self.limit)
        if self._is_leaving:
            self._told_by.append(request_id)
            lines.append(b'Server-Leaving: 1\r\n')
        return b''.join(lines)

    def check_run(self, request_id: str) -> None:
        """Record a run, and a violation if it was not allowed."""
        now = time.monotonic()
        latest = _DRAIN_TIMEOUT_S + _ROUTE_TIMEOUT_S
        if self._told_by and not self._told_at and self._was_told():
            self._told_at = now
        is_late = self._told_at and now - self._told_at > latest
        if is_late and self._count_starts() == self._left_in:
            self.records.timing_violations.append(
                f'{self.name} ran {request_id} after it left'
            )
        if self.limit and self.limit == self._checked_limit:
            self._check_limit(now)

    def _was_told(self) -> bool:
        return any(
            self.records.sent[request_id].status == HTTPStatus.OK
            for request_id in self._told_by
            if request_id in self.records.sent
        )

    def _check_limit(self, now: float) -> None:
        if now - self._limited_since < _CONTACT_S:
            return
        self._runs = [at for at in self._runs if at > now - _WINDOW_S]
        self._runs.append(now)
        allowed = self.limit * _WINDOW_FACTOR * _WINDOW_S + _WINDOW_SLACK
        count = len(self._runs)
        if count > allowed:
            self.records.timing_violations.append(
                f'{self.name} got {count} of {allowed} runs'
            )
