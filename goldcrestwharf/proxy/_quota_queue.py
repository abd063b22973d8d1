"""Requests of one workspace that wait for the answer of a coordinator."""

import asyncio
import itertools
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.proxy._quota_context import QuotaContext
from goldcrestwharf.quotas import (
    MAX_QUEUE_WAIT_S,
    Grant,
    Token,
    TokenRequest,
    TokenStock,
)

#: Coordinators asked for one request.
_MAX_ASKED = 2

#: Seconds between two searches for a coordinator, such as after the start of
#: this daemon.
_RETRY_INTERVAL_S = 0.03

#: ``Retry-After`` in seconds if no coordinator answered. By then, the links
#: to daemons that are gone are suspect.
_NO_COORDINATOR_RETRY_S = 0.2


@attrs.frozen(kw_only=True, eq=False)
class _Waiter:
    request_id: str
    future: 'asyncio.Future[Token | Refusal]'


class TokenQueue:
    """Queue of requests for tokens.

    One token request is outstanding at a time. Requests that arrive
    meanwhile share the next one. Tokens of requests that were cancelled
    are passed to ``give_back``.
    """

    def __init__(
        self,
        *,
        workspace: str,
        context: QuotaContext,
        stock: TokenStock,
        give_back: Callable[[Token], None],
    ) -> None:
        """Start without requests; tokens ahead of demand go to ``stock``."""
        self._workspace = workspace
        self._context = context
        self._stock = stock
        self._give_back = give_back
        self._waiting: list[_Waiter] = []
        self._asking: asyncio.Task[None] | None = None

    async def wait(self, request_id: str) -> Token | Refusal:
        """Return the coordinator's decision about a request."""
        waiter = _Waiter(
            request_id=request_id,
            future=asyncio.get_running_loop().create_future(),
        )
        self._waiting.append(waiter)
        self.start()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self._discard(waiter.future.result())
            raise

    def start(self) -> None:
        """Ask for tokens, also ahead of demand, unless that is under way."""
        if self._asking is None:
            self._asking = asyncio.get_running_loop().create_task(self._ask())

    def close(self) -> None:
        """Stop asking for tokens."""
        if self._asking is not None:
            self._asking.cancel()

    async def _ask(self) -> None:
        is_done = False
        try:
            while not is_done:
                await self._serve_batch()
                is_done = not self._waiting
        finally:
            self._asking = None

    async def _serve_batch(self) -> None:
        batch = self._waiting
        self._waiting = []
        grant = None
        try:
            grant = await self._fetch_patiently(len(batch))
        finally:
            self._settle(batch, grant)

    async def _fetch_patiently(self, wanted: int) -> Grant | None:
        """Ask again for a while if no daemon holds the account yet."""
        ends_at = self._context.clock() + MAX_QUEUE_WAIT_S
        grant = await self._fetch(wanted)
        while grant is None and self._context.clock() < ends_at:
            await asyncio.sleep(_RETRY_INTERVAL_S)
            grant = await self._fetch(wanted)
        return grant

    async def _fetch(self, wanted: int) -> Grant | None:
        request = TokenRequest(
            workspace=self._workspace,
            wanted=wanted,
            spare=self._stock.count_wanted(self._context.clock()),
        )
        ordered = self._context.members.coordinators(self._workspace)
        for coordinator in itertools.islice(ordered, _MAX_ASKED):
            allotment = await self._context.call(coordinator, request)
            if allotment is not None:
                return Grant(
                    workspace=self._workspace,
                    coordinator=coordinator,
                    allotment=allotment,
                )
            is_declined = not self._context.members.is_avoided(coordinator)
            request = attrs.evolve(request, is_declined=is_declined)
        return None

    def _settle(self, batch: list[_Waiter], grant: Grant | None) -> None:
        if grant is None:
            outcomes = _refuse(len(batch))
        else:
            ids = [waiter.request_id for waiter in batch]
            outcomes = self._stock.settle(grant, ids, self._context.clock())
        for waiter, outcome in zip(batch, outcomes, strict=True):
            if waiter.future.done():
                self._discard(outcome)
            else:
                waiter.future.set_result(outcome)

    def _discard(self, outcome: Token | Refusal) -> None:
        if isinstance(outcome, Token):
            self._give_back(outcome)


def _refuse(count: int) -> list[Token | Refusal]:
    refusal = Refusal(
        reason=RefusalReason.NO_COORDINATOR,
        retry_after=_NO_COORDINATOR_RETRY_S,
    )
    return [refusal for _ in range(count)]
