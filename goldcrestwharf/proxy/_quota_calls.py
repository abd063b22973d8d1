"""Token requests that wait for the answer of another daemon."""

import asyncio
import itertools
from collections.abc import Callable

import attrs

from goldcrestwharf.proxy._quota_messages import QuotaGrant, QuotaRequest
from goldcrestwharf.quotas import Allotment, TokenRequest

#: Seconds after which a request counts as lost.
ANSWER_TIMEOUT_S = 0.15


@attrs.define(kw_only=True)
class UnansweredError(Exception):
    """Coordinator that gave no answer in time; ask the next one."""

    coordinator: str


@attrs.frozen(kw_only=True, eq=False)
class _Call:
    coordinator: str
    due_at: float
    future: 'asyncio.Future[Allotment | None]'


class QuotaCalls:
    """Pending token requests by number."""

    def __init__(
        self,
        *,
        send: Callable[[str, object], None],
        clock: Callable[[], float],
    ) -> None:
        """Send messages to daemons by ``send``."""
        self._send = send
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Call] = {}

    async def call(
        self, coordinator: str, request: TokenRequest
    ) -> Allotment | None:
        """Return the answer to a request, ``None`` if it was declined.

        Raises :class:`UnansweredError` without an answer in time.
        """
        number = next(self._numbers)
        call = _Call(
            coordinator=coordinator,
            due_at=self._clock() + ANSWER_TIMEOUT_S,
            future=asyncio.get_running_loop().create_future(),
        )
        self._pending[number] = call
        self._send(coordinator, _pack_request(number, request))
        try:
            async with asyncio.timeout_at(call.due_at):
                return await call.future
        except TimeoutError:
            raise UnansweredError(coordinator=coordinator) from None
        finally:
            self._pending.pop(number, None)

    def give_back(self, coordinator: str, request: TokenRequest) -> None:
        """Return tokens, or charge those that this daemon granted."""
        self._send(coordinator, _pack_request(0, request))

    def resolve(self, grant: QuotaGrant) -> None:
        """Complete the call that a grant belongs to.

        A grant that was read late is dropped: its tokens belong to a time
        that has passed, and another daemon may have been asked.
        """
        call = self._pending.get(grant.number)
        if call is None or call.future.done():
            return
        if self._clock() <= call.due_at:
            call.future.set_result(grant.unpack())

    def fail(self, coordinator: str) -> None:
        """Fail the requests to a daemon whose stream ended."""
        for call in tuple(self._pending.values()):
            if call.coordinator == coordinator and not call.future.done():
                call.future.set_exception(
                    UnansweredError(coordinator=coordinator)
                )


def _pack_request(number: int, request: TokenRequest) -> QuotaRequest:
    return QuotaRequest(
        workspace=request.workspace,
        tokens=request.wanted,
        returned=request.returned,
        number=number,
        spare=request.spare,
        is_declined=request.is_declined,
        charged=request.charged,
    )
