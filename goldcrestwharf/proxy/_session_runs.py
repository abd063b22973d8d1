"""Run the orders of one other daemon, each once at most."""

import asyncio
from collections.abc import Callable

from goldcrestwharf.admission import (
    DispatchLedger,
    DispatchState,
    Refusal,
    RefusalReason,
)
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._outcomes import Reply
from goldcrestwharf.proxy._owner import Owner
from goldcrestwharf.proxy._replies import make_reply
from goldcrestwharf.proxy._run_messages import Cancel, Inquire, Run

_log = EventLog(__name__)


class SessionRuns:
    """Hold the runs that one process of another daemon asked for.

    ``send`` writes to the latest stream of that process, so that a reply
    reaches it also if the stream broke while the request ran.
    """

    def __init__(
        self,
        *,
        process: str,
        owner: Owner,
        ledger: DispatchLedger[Reply],
        send: Callable[[object], None],
    ) -> None:
        """Run orders by ``owner`` and keep their standing in ``ledger``."""
        self._process = process
        self._owner = owner
        self._ledger = ledger
        self._send = send
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._repeatable: set[int] = set()

    def __len__(self) -> int:
        """Return the number of runs in progress."""
        return len(self._tasks)

    def start(self, message: Run) -> None:
        """Begin a run, unless it was begun or forbidden before."""
        if not self._ledger.accept((self._process, message.number)):
            _log.warn('order.not_accepted', request=message.request_id)
            return
        if message.is_repeatable:
            self._repeatable.add(message.number)
        self._tasks[message.number] = asyncio.get_running_loop().create_task(
            self._run(message),
        )

    def cancel(self, message: Cancel) -> None:
        """Give up a run whose caller is gone."""
        task = self._tasks.get(message.number)
        if task is not None:
            task.cancel()

    def cancel_repeatable(self) -> None:
        """Give up what the other daemon has run elsewhere by now."""
        for number in tuple(self._repeatable):
            self.cancel(Cancel(number=number))

    def answer_inquiry(self, message: Inquire) -> None:
        """Tell what became of requests; unknown ones never run from now on."""
        for number in message.numbers:
            record = self._ledger.inquire((self._process, number))
            if record.outcome is not None:
                self._reply(number, record.outcome)
            elif record.state is DispatchState.FORBIDDEN:
                self._refuse(number, RefusalReason.LOST_ON_WAY)

    async def _run(self, message: Run) -> None:
        key = (self._process, message.number)
        try:
            reply = await self._owner.run(message.order())
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
        report = reply.report or self._owner.report()
        self._send(make_reply(number, reply.outcome, report))
