"""Check the guarantees to callers under each fault at each step.

The target counts the runs of each request. Under each fault, a request that
isn't repeatable runs at most once, a request answered with ``not-run`` did
not run, an answer is complete and belongs to its request, and it is returned
without delay.
"""

import itertools

import anyio
import pytest

from goldcrestwharf.hops import TargetAnswer, TargetRequest
from goldcrestwharf.quarantine import fingerprint_of
from test.hops.fakes import make_objects
from test.hops.faults import (
    Fault,
    fail_before,
    freeze_after,
    freeze_before,
    lose_after,
    lose_before,
    no_fault,
)
from test.hops.mesh import BODY, DEADLINE, Mesh, Reply, open_mesh
from test.limits.fakelog import Fault as LogFault

PATH = '/menu/7?x=1'
KEY = ((b'idempotency-key', b'order-1'),)

STEPS = ('forward', 'dispatch', 'answer')
FAULTS = (fail_before, lose_before, lose_after, freeze_before, freeze_after)
FROZEN = frozenset((freeze_before, freeze_after))

#: A target that has received the request can no longer refuse it.
CASES = tuple(
    (step, fault)
    for step, fault in itertools.product(STEPS, FAULTS)
    if (step, fault) != ('answer', fail_before)
)


def check_guarantees(mesh: Mesh, reply: Reply, *, method: str) -> None:
    runs = mesh.target.runs[PATH.encode()]
    if method == 'POST':
        assert runs <= 1
    if reply.outcome == 'not-run':
        assert (reply.status, runs) == (503, 0)
        assert int(reply.headers[b'retry-after']) >= 1
    elif reply.outcome == 'unknown':
        assert reply.status in {502, 504}
    else:
        expected = (200, BODY + PATH.encode())
        assert (reply.status, reply.body) == expected


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('headers', [(), KEY])
@pytest.mark.parametrize('times', [1, 9])
@pytest.mark.parametrize(('step', 'fault'), CASES)
async def test_guarantees_hold_under_each_fault(
    step: str,
    fault: Fault,
    times: int,
    headers: tuple[tuple[bytes, bytes], ...],
    method: str,
) -> None:
    async with open_mesh() as mesh:
        mesh.faults.add(step, fault, times=times)
        reply = await mesh.send_until_answered(
            path=PATH,
            method=method,
            headers=headers,
        )
        check_guarantees(mesh, reply, method=method)
        assert reply.at <= DEADLINE
        if fault not in FROZEN and not (headers and method == 'POST'):
            assert reply.at == 0
        assert mesh.entry.front.in_flight.total == 0
        assert all(
            one.target_dispatcher.in_flight.total == 0 for one in mesh.others
        )


@pytest.mark.parametrize(
    ('step', 'fault', 'method', 'outcome'),
    [
        ('forward', fail_before, 'POST', ''),
        ('dispatch', fail_before, 'POST', ''),
        ('forward', lose_before, 'POST', 'unknown'),
        ('forward', lose_after, 'POST', 'unknown'),
        ('answer', lose_after, 'POST', 'unknown'),
        ('forward', lose_after, 'GET', ''),
        ('dispatch', lose_before, 'GET', ''),
    ],
)
async def test_single_fault_is_retried_only_if_that_is_safe(
    step: str,
    fault: Fault,
    method: str,
    outcome: str,
) -> None:
    async with open_mesh() as mesh:
        mesh.faults.add(step, fault)
        reply = await mesh.send_until_answered(path=PATH, method=method)
        assert reply.outcome == outcome


async def test_refusal_after_attempt_that_may_have_run_is_unknown() -> None:
    async with open_mesh() as mesh:
        mesh.faults.add('answer', lose_after)
        mesh.faults.add('dispatch', no_fault)
        mesh.faults.add('dispatch', fail_before, times=9)
        reply = await mesh.send_until_answered(path=PATH)
        assert mesh.target.runs[PATH.encode()] == 1
        assert reply.outcome == 'unknown'


@pytest.mark.parametrize('fault', [LogFault.OUTAGE, LogFault.DELAYED_APPENDS])
async def test_failed_claim_is_refused_as_not_run(fault: LogFault) -> None:
    async with open_mesh() as mesh:
        mesh.log.fault = fault
        mesh.log.wake()
        reply = await mesh.send_until_answered(
            path=PATH,
            method='POST',
            headers=KEY,
        )
        assert (reply.status, reply.outcome) == (503, 'not-run')
        assert not mesh.target.runs


@pytest.mark.parametrize(
    'fault', [LogFault.LOST_ANSWERS, LogFault.DUPLICATED_APPENDS]
)
async def test_claim_with_lost_log_answer_runs_once(fault: LogFault) -> None:
    async with open_mesh() as mesh:
        mesh.log.fault = fault
        for _ in range(3):
            reply = await mesh.send_until_answered(
                path=PATH,
                method='POST',
                headers=KEY,
            )
            check_guarantees(mesh, reply, method='POST')
        assert mesh.target.runs[PATH.encode()] == 1


async def test_duplicate_gets_the_recorded_answer() -> None:
    async with open_mesh() as mesh:
        request = {'path': PATH, 'method': 'POST', 'headers': KEY}
        first = await mesh.send_until_answered(**request)
        again = await mesh.send_until_answered(**request)
        other = await mesh.send_until_answered(**request, body=b'other')
    assert mesh.target.runs[PATH.encode()] == 1
    assert (again.status, again.body) == (first.status, first.body)
    assert again.headers[b'goldcrestwharf-replayed'] == b'true'
    assert (other.status, other.outcome) == (422, 'earlier-copy')


@pytest.mark.parametrize(
    ('step', 'fault', 'outcome'),
    [
        ('answer', lose_after, 'unknown'),
        ('forward', lose_before, 'unknown'),
        ('dispatch', fail_before, ''),
    ],
)
async def test_duplicate_after_a_fault_gets_the_known_outcome(
    step: str,
    fault: Fault,
    outcome: str,
) -> None:
    async with open_mesh() as mesh:
        mesh.faults.add(step, fault, times=2 if fault is fail_before else 1)
        request = {'path': PATH, 'method': 'POST', 'headers': KEY}
        await mesh.send_until_answered(**request)
        await mesh.timers.advance(120)
        again = await mesh.send_until_answered(**request)
        assert again.outcome == outcome
        check_guarantees(mesh, again, method='POST')


async def test_disconnect_of_the_caller_frees_the_slot() -> None:
    async with open_mesh(slots=1) as mesh:
        mesh.target.blocked = anyio.Event()
        disconnect = anyio.Event()
        async with anyio.create_task_group() as tg:
            for number in range(2):
                tg.start_soon(_send_until(mesh, number, disconnect))
            await anyio.wait_all_tasks_blocked()
            disconnect.set()
        assert mesh.target.cancelled == 2
        mesh.target.blocked = None
        for _ in range(2):
            reply = await mesh.send_request(PATH)
            assert reply is not None
            assert reply.status == 200


def _send_until(mesh: Mesh, number: int, disconnect: anyio.Event):  # type: ignore[no-untyped-def]
    async def send_request() -> None:
        reply = await mesh.send_request(
            f'/menu/{number}', disconnect=disconnect
        )
        assert reply is None

    return send_request


async def test_request_with_key_survives_disconnect_of_the_caller() -> None:
    async with open_mesh() as mesh:
        mesh.target.blocked = anyio.Event()
        disconnect = anyio.Event()
        request = {'path': PATH, 'method': 'POST', 'headers': KEY}
        async with anyio.create_task_group() as tg:

            async def send_request() -> None:
                await mesh.send_request(**request, disconnect=disconnect)

            tg.start_soon(send_request)
            await mesh.timers.advance(0.1)
            disconnect.set()
            await anyio.wait_all_tasks_blocked()
            mesh.target.blocked.set()
        await mesh.timers.advance(1)
        again = await mesh.send_until_answered(**request)
        assert again.headers[b'goldcrestwharf-replayed'] == b'true'
        assert mesh.target.runs[PATH.encode()] == 1


async def test_full_queue_refuses_at_once_and_queued_request_at_deadline() -> (
    None
):
    objects = make_objects(queue=1, max_tries=1)
    async with open_mesh(objects, slots=1) as mesh:
        mesh.target.blocked = anyio.Event()
        replies: list[Reply] = []

        async def send_request(number: int) -> None:
            reply = await mesh.send_request(f'/menu/{number}', method='POST')
            assert reply is not None
            replies.append(reply)

        async with anyio.create_task_group() as tg:
            for number in range(8):
                tg.start_soon(send_request, number)
                await anyio.wait_all_tasks_blocked()
            refused = [reply for reply in replies if reply.at == 0]
            await mesh.timers.advance(DEADLINE)
        assert {reply.outcome for reply in refused} == {'not-run'}
        assert len(refused) == 4
        late = [reply for reply in replies if reply.at > 0]
        outcomes = sorted(reply.outcome for reply in late)
        assert outcomes == ['not-run', 'not-run', 'unknown', 'unknown']
        assert sum(mesh.target.runs.values()) == 2


async def test_drain_answers_requests_in_flight_and_refuses_new_ones() -> None:
    async with open_mesh() as mesh:
        mesh.target.blocked = anyio.Event()
        replies: list[Reply | None] = []

        async def send_request() -> None:
            replies.append(await mesh.send_request(PATH, method='POST'))

        async with anyio.create_task_group() as tg:
            tg.start_soon(send_request)
            await anyio.wait_all_tasks_blocked()
            for daemon in (mesh.entry, *mesh.others):
                tg.start_soon(daemon.target_dispatcher.drain)
            await anyio.wait_all_tasks_blocked()
            refused = await mesh.send_request(PATH, method='POST')
            assert refused is not None
            assert (refused.status, refused.reason) == (503, 'leaving')
            mesh.target.blocked.set()
        assert [reply and reply.status for reply in replies] == [200]


async def test_request_that_crashes_targets_is_refused_by_all_daemons() -> None:
    async with open_mesh() as mesh:
        mesh.target.is_up = False
        mesh.faults.add('answer', lose_after, times=9)
        for _ in range(2):
            await mesh.send_until_answered(path=PATH, method='POST')
        quarantines = [
            verdict
            for daemon in mesh.others
            for verdict in daemon.guard.table.reports()
        ]
        for verdict in quarantines:
            mesh.entry.guard.merge(verdict)
        reply = await mesh.send_until_answered(path=PATH, method='POST')
        assert (reply.status, reply.reason) == (503, 'kills-targets')
        mesh.faults.pending.clear()
        other = await mesh.send_until_answered(path='/menu/8', method='POST')
        assert other.status == 200
        assert mesh.target.runs[PATH.encode()] == 2


@pytest.mark.parametrize(('status', 'is_cleared'), [(200, True), (500, False)])
async def test_only_a_successful_answer_clears_a_crashing_request(
    status: int,
    is_cleared: bool,
) -> None:
    async def answer(_: TargetRequest) -> TargetAnswer:
        return TargetAnswer(status=status, headers=(), body=b'')

    async with open_mesh() as mesh:
        mesh.target.is_up = False
        mesh.faults.add('answer', lose_after)
        await mesh.send_until_answered(path=PATH, method='POST')
        mesh.target.override = answer
        for _ in range(4):
            await mesh.send_until_answered(path=PATH, method='POST')
        guards = [daemon.guard for daemon in mesh.others]
        assert any(guard.has_suspects for guard in guards) is not is_cleared


async def test_each_target_tries_a_request_once_after_its_quarantine() -> None:
    fingerprint = fingerprint_of('POST', 'menu.example', PATH, b'')
    async with open_mesh() as mesh:
        for daemon in mesh.others:
            for _ in range(2):
                daemon.guard.record_death((fingerprint, 'beside'))
        await mesh.timers.advance(61)
        mesh.target.blocked = anyio.Event()
        for _ in range(6):
            await mesh.send_until_answered(path=PATH, method='POST')
        assert mesh.target.runs[PATH.encode()] == len(mesh.others)


async def test_hops_forward_the_deadline_and_the_retry_count() -> None:
    async with open_mesh() as mesh:
        mesh.faults.add('dispatch', lose_before)
        await mesh.send_until_answered(
            path=PATH,
            headers=((b'goldcrestwharf-deadline-ms', b'500'),),
        )
        headers = dict(mesh.target.seen[0].headers)
        assert 400 <= int(headers[b'goldcrestwharf-deadline-ms']) <= 500
        assert headers[b'goldcrestwharf-attempt'] == b'1'


async def test_request_retried_by_an_earlier_hop_is_not_retried() -> None:
    async with open_mesh() as mesh:
        mesh.faults.add('dispatch', lose_before)
        reply = await mesh.send_until_answered(
            path=PATH,
            headers=((b'goldcrestwharf-attempt', b'1'),),
        )
        assert (reply.outcome, mesh.faults.pending['dispatch']) == (
            'unknown',
            [],
        )
