"""Times at which refused callers may return, and tokens kept for them."""

import attrs

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.quotas._token import Token

#: Seconds for which a token waits for its caller.
_GRACE_S = 0.1

#: Seconds by which a caller may return early, for clocks and rounding.
_EARLY_TOLERANCE_S = 0.005

#: Most callers of one workspace that are remembered.
_MAX_PROMISES = 512

#: The times are sent in milliseconds, rounded up.
_ROUNDING_S = 0.001


@attrs.frozen(kw_only=True)
class _Promise:
    due_at: float
    token: Token | None


class PromiseTable:
    """Promises to the callers of one workspace at one entry, by request id.

    Times are monotonic seconds. Without an id nothing is remembered.
    """

    def __init__(self) -> None:
        """Start without promises."""
        self._promises: dict[str, _Promise] = {}
        self._evicted: list[Token] = []

    def add(
        self, request_id: str, due_at: float, token: Token | None, now: float
    ) -> Refusal:
        """Promise a caller that it may return at ``due_at``."""
        if len(self._promises) >= _MAX_PROMISES:
            self._evict(next(iter(self._promises)))
        self._promises[request_id] = _Promise(due_at=due_at, token=token)
        return _refuse(due_at - now)

    def find_refusal(self, request_id: str, now: float) -> Refusal | None:
        """Return the refusal of a caller that returns before its time."""
        promise = self._promises.get(request_id)
        if promise is None or now >= promise.due_at - _EARLY_TOLERANCE_S:
            return None
        return _refuse(promise.due_at - now)

    def redeem(
        self, request_id: str, coordinator: str, now: float
    ) -> Token | None:
        """Remove the promise to a caller and return its token, if any.

        A token of another daemon than the current ``coordinator`` is void,
        and so is one that has expired.
        """
        promise = self._promises.pop(request_id, None)
        token = None if promise is None else promise.token
        if token is None or token.coordinator != coordinator:
            return None
        return token if token.is_fresh(now) else None

    def release(self, now: float) -> list[Token]:
        """Remove the promises that were not claimed and return the tokens."""
        oldest = now - _GRACE_S
        for request_id, promise in tuple(self._promises.items()):
            if promise.due_at < oldest:
                self._evict(request_id)
        unclaimed = [token for token in self._evicted if token.due_at < oldest]
        self._evicted = [
            token for token in self._evicted if token.due_at >= oldest
        ]
        return unclaimed

    def clear(self) -> None:
        """Drop all promises."""
        self._promises.clear()
        self._evicted.clear()

    def drop(self, coordinator: str) -> None:
        """Drop the tokens of a daemon; callers may return as promised."""
        for request_id, promise in self._promises.items():
            token = promise.token
            if token is not None and token.coordinator == coordinator:
                void = attrs.evolve(promise, token=None)
                self._promises[request_id] = void
        self._evicted = [
            token for token in self._evicted if token.coordinator != coordinator
        ]

    def _evict(self, request_id: str) -> None:
        """Forget a caller; its token goes back once it is due."""
        token = self._promises.pop(request_id).token
        if token is not None:
            self._evicted.append(token)


def _refuse(wait: float) -> Refusal:
    return Refusal(
        reason=RefusalReason.OVER_LIMIT,
        retry_after=wait + _ROUNDING_S,
    )
