"""Test that a daemon that was paused doesn't act on what has run out."""

import asyncio
import time

import pytest

from goldcrestwharf.admission import DispatchLedger, RefusalReason
from goldcrestwharf.proxy import SuspendAwareEventLoop
from goldcrestwharf.proxy._answer_timeouts import AnswerTimeouts
from goldcrestwharf.proxy._outcomes import Reply
from goldcrestwharf.proxy._pause import PauseDetector
from goldcrestwharf.proxy._run_messages import Answered, NotRun, Run
from goldcrestwharf.proxy._session_runs import RunContext, SessionRuns
from goldcrestwharf.proxy._stream_bodies import StreamBodies
from test.proxy.helper import open_vm, wait_until

HEAD = b'GET /menu/today HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\n'


def make_run() -> Run:
    return Run(
        number=1,
        request_id='r-1',
        request_class='menu-web',
        service='kitchen',
        instance_id='i-vm-0',
        priority=0,
        left_ms=900,
        objective_ms=500,
        is_repeatable=False,
        head=HEAD,
        body=b'',
    )


@pytest.mark.parametrize(('pause', 'runs'), [(0, 1), (0.6, 1), (1.5, 0)])
async def test_attempt_that_expired_during_a_pause_is_not_run(
    pause: float, runs: int
) -> None:
    async with open_vm() as vm:
        vm.send_heartbeat()
        sent: list[object] = []
        ledger: DispatchLedger[Reply] = DispatchLedger(
            clock=vm.daemon.core.clock
        )
        session_runs = SessionRuns(
            process='paused',
            context=RunContext(
                local_target=vm.daemon._local_target,
                ledger=ledger,
                find_pause=lambda: pause,
                timeouts=AnswerTimeouts(),
                transfers=vm.daemon.core.transfers,
            ),
            send=sent.append,
            bodies=StreamBodies(
                transfers=vm.daemon.core.transfers,
                find_stream=lambda: None,
            ),
        )
        session_runs.start(make_run())
        await wait_until(lambda: bool(sent))
        assert len(vm.target.runs) == runs
        if runs:
            assert isinstance(sent[0], Answered)
        else:
            assert isinstance(sent[0], NotRun)
            assert sent[0].reason == RefusalReason.TOO_LATE


def test_time_of_the_event_loop_counts_suspension() -> None:
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        now = runner.get_loop().time()
        assert before <= now <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_pause_is_found_until_activity_is_recorded() -> None:
    now = [10.0]
    pauses = PauseDetector(clock=lambda: now[0])
    now[0] += 0.3
    assert not pauses.find_pause()
    now[0] += 3
    assert pauses.find_pause() == pytest.approx(3.3)
    pauses.record_activity()
    assert not pauses.find_pause()


def test_processor_time_of_a_pause_is_that_since_the_last_activity() -> None:
    used = [5.0]
    pauses = PauseDetector(clock=float, processor_clock=lambda: used[0])
    used[0] += 2
    assert pauses.find_processor_time() == 2
    pauses.record_activity()
    assert pauses.find_processor_time() == 0


def test_signal_may_have_waited_since_before_a_late_sign_of_activity() -> None:
    """Which of both is handled first after a pause is left to chance."""
    now = [10.0]
    pauses = PauseDetector(clock=lambda: now[0])
    now[0] += 0.45
    assert pauses.find_earliest() == 10
    pauses.record_activity()
    assert pauses.find_earliest() == 10
    now[0] += 0.2
    pauses.record_activity()
    assert pauses.find_earliest() == now[0]


async def test_log_tells_a_long_turn_of_the_event_loop_from_a_suspension(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a stall that only a stack of the process explains."""
    async with open_vm():
        end = time.process_time() + 0.7
        while time.process_time() < end:
            assert not caplog.records
        await wait_until(lambda: 'daemon.stood_still' in caplog.text)
    stalls = [
        record.__dict__['event_fields']['processor_s']
        for record in caplog.records
        if record.getMessage() == 'daemon.stood_still'
    ]
    assert stalls[0] >= 0.6
