"""Tokens of one workspace at an entry: in stock, and promised to callers."""

from collections import deque
from collections.abc import Iterable

from goldcrestwharf.admission import Refusal
from goldcrestwharf.quotas._demand import Demand
from goldcrestwharf.quotas._promises import PromiseTable
from goldcrestwharf.quotas._token import Grant, Token

#: Longest time in seconds that a request waits for its token at the entry.
MAX_QUEUE_WAIT_S = 0.15


class TokenStock:
    """Stock of one workspace at one entry; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without tokens."""
        self.promises = PromiseTable()
        self._spare: deque[Token] = deque()
        self._demand = Demand()

    def find(
        self, request_id: str, coordinator: str, now: float
    ) -> Token | Refusal | None:
        """Return what is known about a request, ``None`` to ask for a token.

        A caller that returns before its time is refused for the rest of it,
        so it gains nothing over one that waits.
        """
        refusal = self.promises.find_refusal(request_id, now)
        if refusal is not None:
            return refusal
        token = self.promises.redeem(request_id, coordinator, now)
        if token is None:
            token = self._take_spare(now)
        if token is not None:
            self._demand.record(now)
        return token

    def settle(
        self, grant: Grant, request_ids: Iterable[str], now: float
    ) -> list[Token | Refusal]:
        """Return the outcome for each request that a grant was asked for."""
        outcomes = [
            self._settle_one(grant, index, request_id, now)
            for index, request_id in enumerate(request_ids)
        ]
        for index in range(len(outcomes), grant.allotment.tokens):
            self._spare.append(grant.make_token(index, now))
        return outcomes

    def keep(self, token: Token, now: float) -> bool:
        """Keep a token that was not used if there is demand for it here."""
        is_kept = token.is_fresh(now) and self.count_wanted(now) > 0
        if is_kept:
            self._spare.append(token)
        return is_kept

    def count_wanted(self, now: float) -> int:
        """Return the number of tokens to prefetch."""
        return max(self._demand.find_target(now) - len(self._spare), 0)

    def is_low(self, now: float) -> bool:
        """Return whether at least half of the wanted stock is missing."""
        return self.count_wanted(now) > len(self._spare)

    def release(self, now: float) -> list[Token]:
        """Remove the expired tokens; return those that nobody has claimed."""
        while self._spare and not self._spare[0].is_fresh(now):
            self._spare.popleft()
        return self.promises.release(now)

    def drop(self, coordinator: str) -> None:
        """Drop the tokens of a daemon that has lost its accounts."""
        self.promises.drop(coordinator)
        kept = [
            token for token in self._spare if token.coordinator != coordinator
        ]
        self._spare = deque(kept)

    def _settle_one(
        self, grant: Grant, index: int, request_id: str, now: float
    ) -> Token | Refusal:
        missing = index - grant.allotment.tokens
        if missing >= 0:
            due_at = now + grant.allotment.find_retry_after(missing)
            return self.promises.add(request_id, due_at, None, now)
        token = grant.make_token(index, now)
        if token.due_at - now > MAX_QUEUE_WAIT_S:
            return self.promises.add(request_id, token.due_at, token, now)
        self._demand.record(now)
        return token

    def _take_spare(self, now: float) -> Token | None:
        while self._spare:
            token = self._spare.popleft()
            if token.is_fresh(now):
                return token
        return None
