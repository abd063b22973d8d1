"""Tokens for the requests of one workspace at this entry."""

import asyncio
from collections import Counter

from goldcrestwharf.admission import Refusal
from goldcrestwharf.proxy._quota_context import QuotaContext
from goldcrestwharf.proxy._quota_queue import TokenQueue
from goldcrestwharf.quotas import Grant, Token, TokenRequest, TokenStock


class QuotaClient:
    """Source of tokens for one workspace."""

    def __init__(self, *, workspace: str, context: QuotaContext) -> None:
        """Start without tokens."""
        self.stock = TokenStock()
        self._workspace = workspace
        self._context = context
        self._queue = TokenQueue(
            workspace=workspace,
            context=context,
            stock=self.stock,
            give_back=self.give_back,
        )

    async def take(self, request_id: str) -> Token | Refusal:
        """Return a token when it may be used, or why there is none."""
        now = self._context.clock()
        coordinator = next(self._context.members.coordinators(self._workspace))
        found = self.stock.find(request_id, coordinator, now)
        if found is None and coordinator == self._context.local:
            found = self._take_here(request_id, now)
        if found is None:
            found = await self._queue.wait(request_id)
        elif self.stock.is_low(now):
            self._queue.start()
        if isinstance(found, Token) and found.due_at > now:
            await self._wait_until_due(found)
        return found

    def give_back(self, token: Token) -> None:
        """Return the token of a request that did not run."""
        now = self._context.clock()
        if not token.is_fresh(now):
            return
        self._context.report.count(self._workspace, 'returned')
        is_local = token.coordinator == self._context.local
        if is_local or not self.stock.keep(token, now):
            self._return(token.coordinator, 1)

    def release(self) -> None:
        """Return the tokens that were promised to callers who stayed away."""
        tokens = self.stock.release(self._context.clock())
        counts = Counter(token.coordinator for token in tokens)
        for coordinator, count in counts.items():
            self._context.report.count(self._workspace, 'unclaimed', count)
            self._return(coordinator, count)

    def close(self) -> None:
        """Stop asking for tokens."""
        self._queue.close()

    def _return(self, coordinator: str, count: int) -> None:
        self._context.give_back(
            coordinator,
            TokenRequest(workspace=self._workspace, wanted=0, returned=count),
        )

    def _take_here(self, request_id: str, now: float) -> Token | Refusal | None:
        """Take a token of an own account, ``None`` if another has it."""
        local = self._context.local
        request = TokenRequest(workspace=self._workspace, wanted=1)
        allotment = self._context.book.grant(local, request)
        if allotment is None:
            return None
        grant = Grant(
            workspace=self._workspace, coordinator=local, allotment=allotment
        )
        return self.stock.settle(grant, (request_id,), now)[0]

    async def _wait_until_due(self, token: Token) -> None:
        try:
            await asyncio.sleep(token.due_at - self._context.clock())
        except asyncio.CancelledError:
            self.give_back(token)
            raise
