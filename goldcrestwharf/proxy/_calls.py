"""Follow the requests that are under way to one other daemon."""

import asyncio
from collections.abc import Callable

import attrs

from goldcrestwharf.placement import LoadEstimate
from goldcrestwharf.proxy._order import RunOrder
from goldcrestwharf.proxy._outcomes import Lost, Reply
from goldcrestwharf.proxy._replies import ReplyMessage, make_run, read_reply
from goldcrestwharf.proxy._run_messages import Cancel, Inquire

#: Sends a message over the stream that is up, if there is one.
Send = Callable[[object], None]


@attrs.define(kw_only=True, eq=False)
class _Call:
    future: 'asyncio.Future[Reply]'
    is_repeatable: bool


class Calls:
    """Match replies to requests, also over a stream that was opened anew."""

    def __init__(self, *, send: Send, load: LoadEstimate) -> None:
        """Send by ``send``; keep ``load`` up to date."""
        self._send = send
        self._load = load
        self._pending: dict[int, _Call] = {}

    def __len__(self) -> int:
        """Return the number of requests under way."""
        return len(self._pending)

    async def call(self, number: int, order: RunOrder) -> Reply:
        """Return what came of an order.

        Cancelling the call has the other daemon give the order up.
        """
        future: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = _Call(
            future=future,
            is_repeatable=order.is_repeatable,
        )
        self._load.outstanding += 1
        self._send(make_run(number, order))
        try:
            return await future
        except asyncio.CancelledError:
            if self._forget(number):
                self._send(Cancel(number=number))
            raise

    def settle(self, message: ReplyMessage) -> None:
        """Hand a reply to the request that waits for it."""
        reply = read_reply(message)
        call = self._forget(message.number)
        if call is not None and not call.future.done():
            call.future.set_result(reply)
        if reply.report is not None:
            self._load.update(reply.report)

    def inquire(self) -> None:
        """Ask over a new stream what became of the requests."""
        if self._pending:
            self._send(Inquire(numbers=list(self._pending)))

    def lose_repeatable(self, reason: str) -> None:
        """End the requests that may run again elsewhere."""
        for number, call in tuple(self._pending.items()):
            if call.is_repeatable:
                self._lose(number, reason)

    def lose_all(self, reason: str) -> None:
        """End all requests: nobody can tell any more what became of them."""
        for number in tuple(self._pending):
            self._lose(number, reason)

    def lose_unless(self, is_up: Callable[[], bool], reason: str) -> None:
        """End all requests if the other daemon has not come back."""
        if not is_up():
            self.lose_all(reason)

    def _lose(self, number: int, reason: str) -> None:
        call = self._forget(number)
        if call is not None and not call.future.done():
            lost = Reply(outcome=Lost(reason=reason), report=None)
            call.future.set_result(lost)

    def _forget(self, number: int) -> _Call | None:
        call = self._pending.pop(number, None)
        if call is not None:
            self._load.outstanding -= 1
        return call
