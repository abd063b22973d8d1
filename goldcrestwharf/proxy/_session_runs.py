"""Attempts of one other daemon, each run at most once."""

import asyncio
from collections.abc import Callable

from goldcrestwharf.admission import (
    DispatchLedger,
    DispatchState,
    Refusal,
    RefusalReason,
)
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._outcomes import Reply
from goldcrestwharf.proxy._replies import make_reply
from goldcrestwharf.proxy._run_messages import Cancel, Inquire, Run

_log = EventLog(__name__)


class SessionRuns:
    """Running attempts of one process of another daemon.

    ``send`` writes to the current stream of that process, so a reply arrives
    even if the stream was replaced while the request ran.
    """

    def __init__(
        self,
        *,
        process: str,
        local_target: LocalTarget,
        ledger: DispatchLedger[Reply],
        send: Callable[[object], None],
    ) -> None:
        """Run attempts on ``local_target``; keep states in ``ledger``."""
        self._process = process
        self._local_target = local_target
        self._ledger = ledger
        self._send = send
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._repeatable: set[int] = set()

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._tasks)

    def start(self, message: Run) -> None:
        """Start an attempt, unless it is a duplicate or forbidden."""
        if not self._ledger.accept((self._process, message.number)):
            _log.warning('order.not_accepted', request=message.request_id)
            return
        if message.is_repeatable:
            self._repeatable.add(message.number)
        self._tasks[message.number] = asyncio.get_running_loop().create_task(
            self._run(message),
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
            record = self._ledger.inquire((self._process, number))
            if record.outcome is not None:
                self._reply(number, record.outcome)
            elif record.state is DispatchState.FORBIDDEN:
                self._refuse(number, RefusalReason.LOST_ON_WAY)

    async def _run(self, message: Run) -> None:
        key = (self._process, message.number)
        try:
            reply = await self._local_target.run(message.attempt())
        except asyncio.CancelledError:
            self._ledger.discard(key)
            self._refuse(message.number, RefusalReason.WITHDRAWN)
            return
        finally:
            self._tasks.pop(message.number, None)
            self._repeatable.discard(message.number)
        if message.is_repeatable:
            self._ledger.discard(key)
        else:
            self._ledger.finish(key, reply)
        self._reply(message.number, reply)

    def _refuse(self, number: int, reason: RefusalReason) -> None:
        refusal = Refusal(reason=reason)
        self._reply(number, Reply(outcome=refusal, report=None))

    def _reply(self, number: int, reply: Reply) -> None:
        report = reply.report or self._local_target.report()
        self._send(make_reply(number, reply.outcome, report))
