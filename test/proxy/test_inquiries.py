"""Check what a daemon says of requests that were sent over an old stream."""

from collections.abc import AsyncIterator

import attrs
import pytest

from goldcrestwharf.admission import DispatchLedger, RefusalReason
from goldcrestwharf.proxy._answer_timeouts import AnswerTimeouts
from goldcrestwharf.proxy._outcomes import Lost, Reply
from goldcrestwharf.proxy._run_messages import Inquire, NotRun, OutcomeLost
from goldcrestwharf.proxy._session_runs import RunContext, SessionRuns
from goldcrestwharf.proxy._stream_bodies import StreamBodies
from test.proxy.helper import open_vm

PROCESS = 'sender'


@attrs.define(kw_only=True)
class Inquiry:
    """The runs of a sender, what they reply, and the time of their ledger."""

    ledger: DispatchLedger[Reply]
    runs: SessionRuns
    sent: list[object]
    now: list[float]

    def run(self, number: int) -> None:
        """Record the arrival and the end of a request."""
        reply = Reply(outcome=Lost(reason='broken'), report=None)
        self.ledger.accept((PROCESS, number))
        self.ledger.finish((PROCESS, number), reply)


@pytest.fixture
async def inquiry() -> AsyncIterator[Inquiry]:
    now: list[float] = [0]
    sent: list[object] = []
    ledger: DispatchLedger[Reply] = DispatchLedger(clock=lambda: now[0])
    async with open_vm() as vm:
        transfers = vm.daemon.core.transfers
        runs = SessionRuns(
            process=PROCESS,
            context=RunContext(
                local_target=vm.daemon._local_target,
                ledger=ledger,
                find_pause=float,
                timeouts=AnswerTimeouts(),
                transfers=transfers,
            ),
            send=sent.append,
            bodies=StreamBodies(transfers=transfers, find_stream=lambda: None),
        )
        yield Inquiry(ledger=ledger, runs=runs, sent=sent, now=now)


async def test_request_in_progress_for_long_is_not_called_not_run(
    inquiry: Inquiry,
) -> None:
    """Its sender would run it at a second target."""
    inquiry.ledger.accept((PROCESS, 1))
    inquiry.now[0] = 33
    inquiry.run(2)
    inquiry.runs.receive(Inquire(numbers=[1]))
    assert not inquiry.sent


async def test_outcome_of_an_evicted_request_is_unknown(
    inquiry: Inquiry,
) -> None:
    """Nobody knows any more that it ran, so "not run" may be false."""
    inquiry.run(1)
    inquiry.now[0] = 33
    inquiry.run(2)
    inquiry.runs.receive(Inquire(numbers=[1, 3]))
    lost, not_run = inquiry.sent
    assert isinstance(lost, OutcomeLost)
    assert isinstance(not_run, NotRun)
    assert not_run.reason == RefusalReason.LOST_ON_WAY
