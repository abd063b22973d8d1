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
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._outcomes import Reply
from goldcrestwharf.proxy._replies import make_reply
from goldcrestwharf.proxy._run_messages import Cancel, Inquire, Run

_log = EventLog(__name__)


@attrs.frozen(kw_only=True)
class RunContext:
    """What all sessions run attempts with.

    The ``ledger`` keeps the states of attempts. ``find_pause`` returns the
    seconds for which a message that is read now may have waited.
    """

    local_target: LocalTarget
    ledger: DispatchLedger[Reply]
    find_pause: Callable[[], float]


class SessionRuns:
    """Running attempts of one process of another daemon.

    ``send`` writes to the current stream of that process, so a reply arrives
    even if the stream was replaced while the request ran.
    """

    def __init__(
        self,
        *,
        process: str,
        context: RunContext,
        send: Callable[[object], None],
    ) -> None:
        """Run the attempts of ``process``."""
        self._process = process
        self._context = context
        self._send = send
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._repeatable: set[int] = set()

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._tasks)

    def start(self, message: Run) -> None:
        """Start an attempt, unless it is a duplicate or forbidden."""
        if not self._context.ledger.accept((self._process, message.number)):
            _log.warning('order.not_accepted', request=message.request_id)
            return
        if message.is_repeatable:
            self._repeatable.add(message.number)
        attempt = message.attempt().shorten(self._context.find_pause())
        self._tasks[message.number] = asyncio.get_running_loop().create_task(
            self._run(message, attempt),
        )

    def cancel(self, message: Cancel) -> None:
        """Cancel an attempt whose caller is gone."""
        task = self._tasks.get(message.number)
        if task is not None:
            task.cancel()

    def cancel_repeatable(self) -> None:
        """Cancel the attempts that the other daemon has sent elsewhere."""
        for number in tuple(self._repeatable):
            self.cancel(Cancel(number=number))

    def answer_inquiry(self, message: Inquire) -> None:
        """Send the states of requests; forbid those that have not arrived."""
        for number in message.numbers:
            record = self._context.ledger.inquire((self._process, number))
            if record.outcome is not None:
                self._reply(number, record.outcome)
            elif record.state is DispatchState.FORBIDDEN:
                self._refuse(number, RefusalReason.LOST_ON_WAY)

    async def _run(self, message: Run, attempt: Attempt) -> None:
        key = (self._process, message.number)
        try:
            reply = await self._context.local_target.run(attempt)
        except asyncio.CancelledError:
            self._context.ledger.discard(key)
            self._refuse(message.number, RefusalReason.WITHDRAWN)
            return
        finally:
            self._tasks.pop(message.number, None)
            self._repeatable.discard(message.number)
        if message.is_repeatable:
            self._context.ledger.discard(key)
        else:
            self._context.ledger.finish(key, reply)
        self._reply(message.number, reply)

    def _refuse(self, number: int, reason: RefusalReason) -> None:
        refusal = Refusal(reason=reason)
        self._reply(number, Reply(outcome=refusal, report=None))

    def _reply(self, number: int, reply: Reply) -> None:
        report = reply.report or self._context.local_target.report()
        self._send(make_reply(number, reply.outcome, report))
