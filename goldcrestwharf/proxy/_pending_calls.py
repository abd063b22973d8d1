"""Pending attempts at the target of one other daemon."""

import asyncio
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.placement import LoadEstimate
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._outcomes import Lost, Reply
from goldcrestwharf.proxy._replies import ReplyMessage, make_run, read_reply
from goldcrestwharf.proxy._run_messages import Cancel, Inquire

#: Sends a message over the current stream, if there is one.
Send = Callable[[object], None]


@attrs.define(kw_only=True, eq=False)
class _Call:
    future: 'asyncio.Future[Reply]'
    is_repeatable: bool


class PendingCalls:
    """Pending attempts by number; they survive a reconnect of the stream."""

    def __init__(self, *, send: Send, load: LoadEstimate) -> None:
        """Send messages by ``send``; count pending attempts in ``load``."""
        self._send = send
        self._load = load
        self._pending: dict[int, _Call] = {}

    def __len__(self) -> int:
        """Return the number of pending attempts."""
        return len(self._pending)

    async def call(self, number: int, attempt: Attempt) -> Reply:
        """Send an attempt and return its reply.

        Cancelling the call sends a cancellation to the other daemon.
        """
        future: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = _Call(
            future=future,
            is_repeatable=attempt.is_repeatable,
        )
        self._load.outstanding += 1
        self._send(make_run(number, attempt))
        try:
            return await future
        except asyncio.CancelledError:
            if self._remove(number):
                self._send(Cancel(number=number))
            raise

    def resolve(self, message: ReplyMessage) -> None:
        """Complete the call that a reply belongs to."""
        reply = read_reply(message)
        call = self._remove(message.number)
        if call is not None and call.is_repeatable:
            reply = _doubt_absence(reply)
        if call is not None and not call.future.done():
            call.future.set_result(reply)
        if reply.report is not None:
            self._load.update(reply.report)

    def inquire(self) -> None:
        """Ask over a new stream for the state of the pending attempts."""
        if self._pending:
            self._send(Inquire(numbers=list(self._pending)))

    def fail_repeatable(self, reason: str) -> None:
        """Fail the attempts that may be sent elsewhere."""
        for number, call in tuple(self._pending.items()):
            if call.is_repeatable:
                self._fail(number, reason)

    def fail_all(self, reason: str) -> None:
        """Fail all attempts, with an unknown outcome."""
        for number in tuple(self._pending):
            self._fail(number, reason)

    def fail_unless(self, is_up: Callable[[], bool], reason: str) -> None:
        """Fail all attempts if the other daemon hasn't reconnected."""
        if not is_up():
            self.fail_all(reason)

    def _fail(self, number: int, reason: str) -> None:
        call = self._remove(number)
        if call is not None and not call.future.done():
            lost = Reply(outcome=Lost(reason=reason), report=None)
            call.future.set_result(lost)

    def _remove(self, number: int) -> _Call | None:
        call = self._pending.pop(number, None)
        if call is not None:
            self._load.outstanding -= 1
        return call


def _doubt_absence(reply: Reply) -> Reply:
    """Return a reply for an attempt of which no record may have been kept.

    The other daemon discards repeatable attempts once they have ended, so one
    that it doesn't know may have run.
    """
    outcome = reply.outcome
    if not isinstance(outcome, Refusal):
        return reply
    if outcome.reason is not RefusalReason.LOST_ON_WAY:
        return reply
    return Reply(outcome=Lost(reason='the answer was lost'), report=None)
