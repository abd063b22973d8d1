"""Check that a planned stop cuts off no request and no answer."""

import asyncio
import socket
import time

import pytest

from goldcrestwharf.admission import DispatchState
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.loglines._events import FIELDS
from goldcrestwharf.proxy import stop_gracefully
from goldcrestwharf.proxy._link import RECONNECT_TIMEOUT_S
from goldcrestwharf.proxy._shutdown import (
    _CALLER_NOTICE_S,
    _MAX_GRACE_FRACTION,
)
from test.http1.helper import run_pending_tasks
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    Vm,
    find_link,
    is_linked,
    link_to_remote,
    open_vm,
    open_vms,
    render,
    send_request,
    wait_until,
)

#: Larger than the buffers of the kernel, in bytes.
LARGE_BODY = bytes(4_000_000)

#: Receive buffer of a slow caller, in bytes.
WINDOW_BYTES = 4096

SLOW = make_snapshot(1, make_route(timeout=5, objective=1))

NON_REPEATABLE = make_snapshot(
    1, make_route(is_repeatable=False, timeout=5, objective=0.2)
)

SHUTDOWN = 'goldcrestwharf.proxy._shutdown'

#: Longer than the rest of a stop once its requests are finished, in seconds.
STOP_MARGIN_S = 0.3

#: Pause of a reader in seconds: longer than the rest of a stop, and too short
#: for its stream to be suspect.
READ_PAUSE_S = 0.15

#: Time for which a signal waits: longer than two checks of the streams, and too
#: short to count as a pause.
SIGNAL_DELAY_S = 0.45

#: Longer than the rest of a stop in which a like request comes, in seconds.
LONG_WORK_S = 1.3


def answer_at_length(req: Request) -> Answer:
    request_id = req.find(b'request-id') or b''
    return Answer(
        status=200,
        head=b'Request-Id: %b\r\nAnswer-Proof: p\r\n' % request_id,
        body=LARGE_BODY,
    )


def refuse_to_run(_: Request) -> Answer:
    return Answer(status=503, head=b'Not-Run: 1\r\n')


async def wait_for_notice(vm: Vm, began_at: float) -> None:
    """Wait until a daemon that has nothing to do would have stopped."""
    over_at = began_at + _CALLER_NOTICE_S + STOP_MARGIN_S
    await wait_until(lambda: vm.daemon.core.clock() > over_at)


async def read_all(conn: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    received = bytearray()
    chunk = await loop.sock_recv(conn, len(LARGE_BODY))
    while chunk:
        received += chunk
        chunk = await loop.sock_recv(conn, len(LARGE_BODY))
    return bytes(received)


def list_events(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.message for record in caplog.records]


async def begin_stop(vm: Vm) -> 'asyncio.Task[None]':
    stop = asyncio.create_task(stop_gracefully(vm.daemon))
    await wait_until(lambda: vm.daemon.core.shutdown.has_begun)
    return stop


async def connect_slow_caller(vm: Vm) -> socket.socket:
    host, _, port = vm.callers.partition(':')
    conn = socket.socket()
    conn.setblocking(False)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(conn, (host, int(port)))
    return conn


def pause_stream(entry: Vm, name: str) -> None:
    """Let the entry read nothing from another daemon for a moment."""
    link = find_link(entry, name)
    assert link is not None and link._stream is not None
    transport = link._stream._transport
    transport.pause_reading()
    asyncio.get_running_loop().call_later(
        READ_PAUSE_S, transport.resume_reading
    )


@pytest.mark.parametrize('is_remote', [False, True])
async def test_request_that_may_outlast_a_stop_is_refused_late_in_it(
    *, is_remote: bool
) -> None:
    """It would be passed on, and cut off at the end of the grace period."""
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, owner = await link_to_remote(vms) if is_remote else vms[:1] * 2
        owner.send_heartbeat()
        owner.target.gate.clear()
        clock = entry.daemon.core.clock
        began_at = clock()
        entry.daemon.begin_shutdown(began_at + 4)
        await wait_until(lambda: clock() > began_at + 2.1)
        response = await send_request(
            entry, render(method='POST', deadline_ms=5000)
        )
        assert not owner.target.runs
    assert response.status == 503
    assert response.find(b'retry-after')


async def test_request_that_outlasts_a_stop_gets_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its outcome is unknown, which a closed connection doesn't say."""
    monkeypatch.setattr(f'{SHUTDOWN}._MAX_GRACE_FRACTION', 0.1)
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        request = asyncio.create_task(
            send_request(entry, render(method='POST', deadline_ms=5000))
        )
        await wait_until(lambda: bool(remote.target.runs))
        await stop_gracefully(entry.daemon)
        response = await request
    assert response.status == 504


async def test_requests_behind_one_that_outlasts_a_stop_get_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They were read whole, and closing would leave them unanswered."""
    monkeypatch.setattr(f'{SHUTDOWN}._MAX_GRACE_FRACTION', 0.1)
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        conn = await connect_slow_caller(entry)
        message = render(method='POST', deadline_ms=5000)
        await asyncio.get_running_loop().sock_sendall(conn, message * 3)
        await wait_until(lambda: bool(remote.target.runs))
        await stop_gracefully(entry.daemon)
        received = await read_all(conn)
        conn.close()
        assert len(remote.target.runs) == 1
    statuses = [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]]
    assert statuses == [b'504', b'503', b'503']
    assert received.count(b'\r\nRetry-After: ') == 2
    assert received.count(b'\r\nConnection: close\r\n') == 1


async def test_requests_behind_one_in_a_stop_are_served() -> None:
    """The first answer in a stop would close their connection."""
    async with open_vm(NON_REPEATABLE) as vm:
        vm.send_heartbeat()
        vm.target.gate.clear()
        conn = await connect_slow_caller(vm)
        message = render(method='POST', deadline_ms=2000)
        await asyncio.get_running_loop().sock_sendall(conn, message * 3)
        await wait_until(lambda: bool(vm.target.runs))
        stop = await begin_stop(vm)
        vm.target.gate.set()
        received = await read_all(conn)
        conn.close()
        await stop
    assert received.count(b'HTTP/1.1 200 ') == 3


async def test_stop_waits_for_an_answer_that_its_caller_reads_slowly() -> None:
    """The exit of the process would drop the rest of the answer."""
    async with open_vm(SLOW) as vm:
        vm.send_heartbeat()
        vm.target.answer = answer_at_length
        conn = await connect_slow_caller(vm)
        began_at = vm.daemon.core.clock()
        stop = await begin_stop(vm)
        await asyncio.get_running_loop().sock_sendall(
            conn, render(deadline_ms=5000)
        )
        await wait_until(lambda: bool(vm.target.runs))
        await wait_for_notice(vm, began_at)
        assert not stop.done()
        received = await read_all(conn)
        conn.close()
        await stop
    assert received.startswith(b'HTTP/1.1 200 ')
    assert received.endswith(LARGE_BODY)


async def test_stop_waits_for_replies_on_their_way_to_other_daemons() -> None:
    """The end of a stream drops what the other daemon has not received."""
    async with open_vms(2, SLOW) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.answer = answer_at_length
        remote.target.gate.clear()
        request = asyncio.create_task(
            send_request(entry, render(deadline_ms=5000))
        )
        await wait_until(lambda: bool(remote.target.runs))
        began_at = remote.daemon.core.clock()
        stop = await begin_stop(remote)
        await wait_for_notice(remote, began_at)
        pause_stream(entry, 'vm-1')
        remote.target.gate.set()
        response = await request
        await stop
    assert (response.status, response.body) == (200, LARGE_BODY)


async def send_short_requests(vm: Vm, count: int) -> None:
    for number in range(count):
        await send_request(
            vm, render(request_id=f'short-{number}', deadline_ms=5000)
        )


@pytest.mark.parametrize('stopping', [0, 1])
async def test_request_that_may_outlast_a_stop_is_refused_early_in_it(
    stopping: int,
) -> None:
    """One like it took longer than the rest of the stop shortly before."""
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, owner = await link_to_remote(vms)
        owner.target.gate.clear()
        long_one = asyncio.create_task(
            send_request(entry, render(deadline_ms=5000))
        )
        await asyncio.sleep(LONG_WORK_S)
        owner.target.gate.set()
        await long_one
        await send_short_requests(entry, 30)
        before = len(owner.target.runs)
        clock = entry.daemon.core.clock
        began_at = clock()
        vms[stopping].daemon.begin_shutdown(began_at + 2)
        await wait_until(lambda: clock() > began_at + 0.9)
        owner.target.gate.clear()
        response = await send_request(
            entry, render(method='POST', request_id='r-2', deadline_ms=5000)
        )
        assert len(owner.target.runs) == before
    assert response.status == 503
    assert response.find(b'retry-after')


@pytest.mark.parametrize(('deadline_ms', 'status'), [(5000, 503), (1500, 200)])
async def test_request_that_may_outlast_the_stop_of_another_daemon_is_refused(
    deadline_ms: int, status: int
) -> None:
    """If its own daemon stops as well, it would be ended by an error."""
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, owner = await link_to_remote(vms)
        ends_at = entry.daemon.core.clock() + 4
        for vm in (owner, entry):
            vm.daemon.begin_shutdown(ends_at)
        await wait_until(
            lambda: all(
                one.is_draining
                for one in entry.daemon._fleet.candidates('menu')
            )
        )
        response = await send_request(
            entry, render(method='POST', deadline_ms=deadline_ms)
        )
        assert bool(owner.target.runs) == (status == 200)
    assert response.status == status


async def test_retry_that_may_outlast_a_stop_is_refused() -> None:
    """The check at the first try says nothing about one late in the stop."""
    async with open_vms(3, NON_REPEATABLE) as vms:
        entry, *remotes = vms
        for vm in remotes:
            vm.send_heartbeat()
            vm.target.gate.clear()
            vm.target.answer = refuse_to_run
        await wait_until(
            lambda: is_linked(entry, 'vm-1') and is_linked(entry, 'vm-2')
        )
        clock = entry.daemon.core.clock
        began_at = clock()
        entry.daemon.begin_shutdown(began_at + 2)
        request = asyncio.create_task(
            send_request(entry, render(method='POST', deadline_ms=5000))
        )
        await wait_until(lambda: clock() > began_at + 1.1)
        for asked in remotes:
            asked.target.gate.set()
        response = await request
        assert sum(len(vm.target.runs) for vm in remotes) == 1
    assert response.status == 503


async def test_end_of_a_stop_answers_attempts_of_other_daemons(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Their callers would wait until the stream counts as cut off."""
    monkeypatch.setattr(f'{SHUTDOWN}._MAX_GRACE_FRACTION', 0.1)
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        request = asyncio.create_task(
            send_request(entry, render(method='POST', deadline_ms=5000))
        )
        await wait_until(lambda: bool(remote.target.runs))
        await stop_gracefully(remote.daemon)
        async with asyncio.timeout(RECONNECT_TIMEOUT_S / 2):
            response = await request
    assert response.status == 502


async def test_attempt_that_a_stop_ended_is_not_called_not_run() -> None:
    """Its sender may inquire over another stream, and would run it again."""
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        request = asyncio.create_task(
            send_request(entry, render(method='POST', deadline_ms=5000))
        )
        await wait_until(lambda: bool(remote.target.runs))
        remote.daemon.core.answer_timeouts.end_all()
        response = await request
        ledger = remote.daemon._sessions._run_context.ledger
        record = ledger.inquire((entry.daemon.core.process, 1))
    assert response.status == 502
    assert record.state is DispatchState.DONE


async def test_log_tells_a_planned_stop_from_a_cut_link(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A stop in calm logged a lost peer for each link of the daemon."""
    monkeypatch.setattr(f'{SHUTDOWN}._CALLER_NOTICE_S', 0.1)
    caplog.set_level('INFO')
    async with open_vms(2) as vms:
        entry, _ = await link_to_remote(vms)
        await stop_gracefully(entry.daemon)
    ends = {
        record.message
        for record in caplog.records
        if getattr(record, FIELDS, {}).get('peer') == 'vm-1'
    }
    assert 'peer.closed' in ends
    assert 'peer.lost' not in ends


async def test_log_names_the_requests_that_a_stop_ends(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They could not be told from those that reached their own time limit."""
    monkeypatch.setattr(f'{SHUTDOWN}._MAX_GRACE_FRACTION', 0.1)
    caplog.set_level('INFO')
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        request = asyncio.create_task(
            send_request(entry, render(method='POST', deadline_ms=5000))
        )
        await wait_until(lambda: bool(remote.target.runs))
        await stop_gracefully(entry.daemon)
        await request
    events = list_events(caplog)
    assert events.count('request.cut_off') == 1
    assert 'request.timed_out' not in events


async def test_stop_without_requests_cuts_nothing_off(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Refused requests keep a stop going until the end of the grace period."""
    monkeypatch.setattr(f'{SHUTDOWN}._MAX_GRACE_FRACTION', 0.1)
    async with open_vm(NON_REPEATABLE) as vm:
        await stop_gracefully(vm.daemon)
    assert 'daemon.cut_off' not in list_events(caplog)


def send_into_pause(address: str) -> socket.socket:
    """Send a request, and let the process not run for a while."""
    host, _, port = address.partition(':')
    conn = socket.create_connection((host, int(port)))
    conn.sendall(render(deadline_ms=1000))
    time.sleep(0.2)
    conn.setblocking(False)
    return conn


async def test_stop_serves_what_arrived_while_the_process_was_paused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stop that ends right after a pause would leave it unread or cut."""
    monkeypatch.setattr(f'{SHUTDOWN}._CALLER_NOTICE_S', 1)
    async with open_vm(SLOW) as vm:
        vm.send_heartbeat()
        vm.target.gate.clear()
        over_at = vm.daemon.core.clock() + 1
        stop = await begin_stop(vm)
        await wait_until(lambda: vm.daemon.core.clock() > over_at - 0.1)
        with send_into_pause(vm.callers) as conn:
            await wait_until(lambda: bool(vm.target.runs))
            await asyncio.sleep(STOP_MARGIN_S)
            assert not stop.done()
            vm.target.gate.set()
            received = await asyncio.get_running_loop().sock_recv(conn, 100)
        await stop
    assert received.startswith(b'HTTP/1.1 200 ')


def delay_signal(vm: Vm) -> float:
    """Let the process not run for a while; return when that began."""
    began_at = vm.daemon.core.clock()
    time.sleep(SIGNAL_DELAY_S)
    return began_at


@pytest.mark.parametrize('turns', range(5))
async def test_stop_ends_in_time_if_its_signal_was_handled_late(
    monkeypatch: pytest.MonkeyPatch, turns: int
) -> None:
    """A stop that counts from then is ended by SIGKILL with requests on it."""
    monkeypatch.setattr(f'{SHUTDOWN}._CALLER_NOTICE_S', 0)
    async with open_vm(SLOW) as vm:
        core = vm.daemon.core
        signalled_at = delay_signal(vm)
        await run_pending_tasks(turns)
        stop = await begin_stop(vm)
        await stop
    latest_at = signalled_at + core.cfg.grace_period * _MAX_GRACE_FRACTION
    assert core.shutdown._ends_at is not None
    assert core.shutdown._ends_at <= latest_at
    assert core.shutdown._lenient_until <= (signalled_at + latest_at) / 2
