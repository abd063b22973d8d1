"""Pending attempts at the target of one other daemon."""

import asyncio
from collections.abc import Callable
from functools import partial

import attrs

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.placement import LoadEstimate
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._body_messages import BodyAhead, BodyMessage
from goldcrestwharf.proxy._incoming_bodies import BodyReceipt
from goldcrestwharf.proxy._outcomes import Lost, Reply
from goldcrestwharf.proxy._replies import ReplyMessage, make_run, read_reply
from goldcrestwharf.proxy._run_messages import Answered, Cancel, Inquire
from goldcrestwharf.proxy._stream import MessageStream
from goldcrestwharf.proxy._stream_bodies import StreamBodies
from goldcrestwharf.proxy._transfers import Transfers
from goldcrestwharf.transfers import TransferRank

#: Messages of the other daemon about attempts.
CallMessage = ReplyMessage | BodyMessage

#: Sends a message over the current stream, if there is one.
Send = Callable[[object], None]


@attrs.define(kw_only=True, eq=False)
class _Call:
    future: 'asyncio.Future[Reply]'
    is_repeatable: bool
    rank: TransferRank


class PendingCalls:
    """Pending attempts by number; they survive a reconnect of the stream.

    ``bodies`` are the large ones, which don't.
    """

    def __init__(
        self,
        *,
        send: Send,
        load: LoadEstimate,
        transfers: Transfers,
        find_stream: Callable[[], MessageStream | None],
    ) -> None:
        """Send messages by ``send``; count pending attempts in ``load``.

        Large bodies use the stream that ``find_stream`` returns.
        """
        self.bodies = StreamBodies(transfers=transfers, find_stream=find_stream)
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
        rank = self.bodies.transfers.find_rank(
            attempt.priority, attempt.objective_left
        )
        self._pending[number] = _Call(
            future=future,
            is_repeatable=attempt.is_repeatable,
            rank=rank,
        )
        self._load.outstanding += 1
        run = make_run(number, attempt)
        if self.bodies.outgoing.wants_pieces(attempt.body):
            self.bodies.outgoing.send(run, rank)
        else:
            self._send(run)
        try:
            return await future
        except asyncio.CancelledError:
            if self._remove(number):
                self._send(Cancel(number=number))
            raise

    def receive(self, message: CallMessage) -> None:
        """Handle a reply, or a part of a large body."""
        if isinstance(message, BodyMessage):
            self.bodies.receive(message)
            return
        ahead = self.bodies.incoming.take_announced(message.number)
        if ahead is not None and isinstance(message, Answered):
            self._receive_body(message, ahead)
            return
        reply = read_reply(message)
        self._finish(message.number, reply)
        if reply.report is not None:
            self._load.update(reply.report)

    def inquire(self) -> None:
        """Ask over a new stream for the state of the pending attempts."""
        if self._pending:
            self._send(Inquire(numbers=list(self._pending)))

    def break_off_bodies(self) -> None:
        """Drop incomplete bodies, since their stream ended.

        An attempt whose body was not sent as a whole has not run and never
        will. An answer is asked for again, or the attempt fails.
        """
        refusal = Refusal(reason=RefusalReason.NOT_SENT)
        for number in self.bodies.outgoing.break_off():
            self._finish(number, Reply(outcome=refusal, report=None))
        self.bodies.incoming.break_off()

    def fail(self, reason: str, *, only_repeatable: bool = False) -> None:
        """Fail all attempts, or those that may be sent elsewhere.

        Their outcome is unknown.
        """
        lost = Reply(outcome=Lost(reason=reason), report=None)
        for number, call in tuple(self._pending.items()):
            if call.is_repeatable or not only_repeatable:
                self._finish(number, lost)

    def _receive_body(self, message: Answered, ahead: BodyAhead) -> None:
        call = self._pending.get(message.number)
        if call is None:
            # The call was cancelled, or was answered before the inquiry.
            self._send(Cancel(number=message.number))
            return
        memory = self.bodies.transfers.make_answer_memory(ahead.size)
        self.bodies.incoming.expect(
            BodyReceipt(
                number=message.number,
                size=ahead.size,
                rank=call.rank,
                finish=partial(_complete_answer, self, message),
                admit=memory.admit,
                release=memory.release,
            )
        )

    def _finish(self, number: int, reply: Reply) -> None:
        call = self._remove(number)
        if call is None or call.future.done():
            return
        call.future.set_result(
            _doubt_absence(reply) if call.is_repeatable else reply
        )

    def _remove(self, number: int) -> _Call | None:
        call = self._pending.pop(number, None)
        if call is not None:
            self._load.outstanding -= 1
            self.bodies.stop(number)
        return call


def _complete_answer(
    calls: PendingCalls, message: Answered, body: bytes | None
) -> None:
    if body is not None:
        calls.receive(attrs.evolve(message, body=body))


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
