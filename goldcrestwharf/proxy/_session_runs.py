"""Attempts of one other daemon, each run at most once."""

import asyncio
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import (
    DispatchLedger,
    DispatchState,
    Refusal,
    RefusalReason,
)
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._answer_timeouts import AnswerTimeouts
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._body_messages import BodyAhead, BodyMessage
from goldcrestwharf.proxy._bulk_runs import BulkRuns
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._outcomes import Lost, Reply
from goldcrestwharf.proxy._replies import make_reply
from goldcrestwharf.proxy._run_messages import Answered, Cancel, Inquire, Run
from goldcrestwharf.proxy._stream_bodies import StreamBodies
from goldcrestwharf.proxy._transfers import Transfers
from goldcrestwharf.transfers import TransferRank

_log = EventLog(__name__)

#: Messages of the other daemon about its attempts.
RunMessage = Run | Cancel | Inquire | BodyMessage

#: Rank of answers that are asked for again; they are late already.
_FIRST_RANK: TransferRank = (0, 0)


@attrs.frozen(kw_only=True)
class RunContext:
    """What all sessions run attempts with.

    The ``ledger`` keeps the states of attempts. ``find_pause`` returns the
    seconds for which a message that is read now may have waited. The
    ``timeouts`` end all attempts at the end of a shutdown.
    """

    local_target: LocalTarget
    ledger: DispatchLedger[Reply]
    find_pause: Callable[[], float]
    timeouts: AnswerTimeouts
    transfers: Transfers


class SessionRuns:
    """Running attempts of one process of another daemon.

    ``send`` writes to the current stream of that process, so a reply arrives
    even if the stream was replaced while the request ran. ``bodies`` are the
    large ones on that stream.
    """

    def __init__(
        self,
        *,
        process: str,
        context: RunContext,
        send: Callable[[object], None],
        bodies: StreamBodies,
    ) -> None:
        """Run the attempts of ``process``."""
        self.bodies = bodies
        self._process = process
        self._context = context
        self._send = send
        self._bulk_runs = BulkRuns(
            local_target=context.local_target, bodies=bodies
        )
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._repeatable: set[int] = set()

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._tasks)

    def receive(self, message: RunMessage) -> None:
        """Handle a message of the other daemon."""
        if isinstance(message, Run):
            self.start(message)
        elif isinstance(message, Cancel):
            self.cancel(message)
        elif isinstance(message, Inquire):
            self.answer_inquiry(message)
        else:
            self.bodies.receive(message)

    def start(self, message: Run) -> None:
        """Start an attempt, unless it is a duplicate or forbidden."""
        ahead = self.bodies.incoming.take_announced(message.number)
        if not self._context.ledger.accept((self._process, message.number)):
            _log.warning('order.not_accepted', request=message.request_id)
            return
        if message.is_repeatable:
            self._repeatable.add(message.number)
        attempt = message.attempt().shorten(self._context.find_pause())
        self._tasks[message.number] = asyncio.get_running_loop().create_task(
            self._run(message, attempt, ahead),
        )

    def cancel(self, message: Cancel) -> None:
        """Cancel an attempt whose caller is gone, or stop its answer."""
        self.bodies.outgoing.stop(message.number)
        task = self._tasks.get(message.number)
        if task is not None:
            task.cancel()

    def cancel_repeatable(self) -> None:
        """Cancel the attempts that the other daemon has sent elsewhere."""
        for number in tuple(self._repeatable):
            self.cancel(Cancel(number=number))

    def break_off_bodies(self) -> None:
        """Drop incomplete bodies, since their stream ended.

        An attempt whose body is incomplete has not run and never will, which
        later inquiries must be told, also about a repeatable one.
        """
        reply = _refuse(RefusalReason.NOT_SENT)
        for number in self.bodies.incoming.break_off():
            self._context.ledger.forbid((self._process, number), reply)
        self.bodies.outgoing.break_off()

    def answer_inquiry(self, message: Inquire) -> None:
        """Send the states of requests; forbid those that have not arrived.

        Those in progress are answered when they end.
        """
        for number in message.numbers:
            record = self._context.ledger.inquire((self._process, number))
            _log.note(
                'order.inquired',
                process=self._process,
                number=number,
                state=record.state.value,
            )
            if record.outcome is not None:
                self._reply(number, record.outcome)
            elif record.state is DispatchState.FORBIDDEN:
                self._reply(number, _refuse(RefusalReason.LOST_ON_WAY))
            elif record.state is DispatchState.UNKNOWN:
                lost = Lost(reason='the record of the request was evicted')
                self._reply(number, Reply(outcome=lost, report=None))

    async def _run(
        self, message: Run, attempt: Attempt, ahead: BodyAhead | None
    ) -> None:
        key = (self._process, message.number)
        rank = self.bodies.transfers.find_rank(
            attempt.priority, attempt.objective_left
        )
        try:
            async with self._context.timeouts.limit(None):
                reply = await self._bulk_runs.run(attempt, ahead, rank)
        except asyncio.CancelledError:
            reply = _refuse(RefusalReason.WITHDRAWN)
        except TimeoutError:
            reply = _cut_off(message)
        finally:
            self._tasks.pop(message.number, None)
            self._repeatable.discard(message.number)
        if message.is_repeatable or _is_withdrawn(reply):
            self._context.ledger.discard(key)
        else:
            self._context.ledger.finish(key, reply)
        self._reply(message.number, reply, rank)

    def _reply(
        self, number: int, reply: Reply, rank: TransferRank = _FIRST_RANK
    ) -> None:
        report = reply.report or self._context.local_target.report()
        message = make_reply(number, reply.outcome, report)
        outgoing = self.bodies.outgoing
        if isinstance(message, Answered) and outgoing.wants_pieces(
            message.body
        ):
            outgoing.send(message, rank)
        else:
            self._send(message)


def _cut_off(message: Run) -> Reply:
    """Return the reply to an attempt that a shutdown ended."""
    _log.note(
        'order.cut_off',
        request=message.request_id,
        route=message.request_class,
    )
    lost = Lost(reason='the daemon beside the target stopped')
    return Reply(outcome=lost, report=None)


def _is_withdrawn(reply: Reply) -> bool:
    outcome = reply.outcome
    if not isinstance(outcome, Refusal):
        return False
    return outcome.reason is RefusalReason.WITHDRAWN


def _refuse(reason: RefusalReason) -> Reply:
    return Reply(outcome=Refusal(reason=reason), report=None)
