"""Check the promises to callers under each fault at each step.

A target's ledger counts how often each request ran. Whatever happens: a
request that may not be repeated runs at most once, one that is said not to
have run did not, an answer is whole and its own, and it is given at once
when it is known.
"""

import itertools

import anyio
import pytest

from test.hops.fakes import make_objects
from test.hops.faults import (
    Fault,
    fail_before,
    freeze_after,
    freeze_before,
    lose_after,
    lose_before,
    pass_on,
)
from test.hops.mesh import BODY, DEADLINE, Mesh, Reply, open_mesh
from test.limits.fakelog import Fault as LogFault

PATH = '/menu/7?x=1'
KEY = ((b'idempotency-key', b'order-1'),)

STEPS = ('forward', 'dispatch', 'answer')
FAULTS = (fail_before, lose_before, lose_after, freeze_before, freeze_after)
FROZEN = frozenset((freeze_before, freeze_after))

#: A target that was reached can't refuse any more.
CASES = tuple(
    (step, fault)
    for step, fault in itertools.product(STEPS, FAULTS)
    if (step, fault) != ('answer', fail_before)
)


def check_promises(mesh: Mesh, reply: Reply, *, method: str) -> None:
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
async def test_promises_hold(
    step: str,
    fault: Fault,
    times: int,
    headers: tuple[tuple[bytes, bytes], ...],
    method: str,
) -> None:
    async with open_mesh() as mesh:
        mesh.faults.add(step, fault, times=times)
        reply = await mesh.ask_until_settled(
            path=PATH,
            method=method,
            headers=headers,
        )
        check_promises(mesh, reply, method=method)
        assert reply.at <= DEADLINE
        if fault not in FROZEN and not (headers and method == 'POST'):
            assert reply.at == 0
        assert mesh.entry.front.in_flight.total == 0
        assert all(one.target_side.in_flight.total == 0 for one in mesh.others)


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
async def test_one_fault_is_mended_only_where_that_is_safe(
    step: str,
    fault: Fault,
    method: str,
    outcome: str,
) -> None:
    async with open_mesh() as mesh:
        mesh.faults.add(step, fault)
        reply = await mesh.ask_until_settled(path=PATH, method=method)
        assert reply.outcome == outcome


async def test_refusal_after_a_try_that_may_have_run_is_no_not_run() -> None:
    async with open_mesh() as mesh:
        mesh.faults.add('answer', lose_after)
        mesh.faults.add('dispatch', pass_on)
        mesh.faults.add('dispatch', fail_before, times=9)
        reply = await mesh.ask_until_settled(path=PATH)
        assert mesh.target.runs[PATH.encode()] == 1
        assert reply.outcome == 'unknown'


@pytest.mark.parametrize('fault', [LogFault.OUTAGE, LogFault.DELAYED_APPENDS])
async def test_claim_that_fails_is_refused_as_not_run(fault: LogFault) -> None:
    async with open_mesh() as mesh:
        mesh.log.fault = fault
        mesh.log.wake()
        reply = await mesh.ask_until_settled(
            path=PATH,
            method='POST',
            headers=KEY,
        )
        assert (reply.status, reply.outcome) == (503, 'not-run')
        assert not mesh.target.runs


@pytest.mark.parametrize(
    'fault', [LogFault.LOST_ANSWERS, LogFault.DUPLICATED_APPENDS]
)
async def test_claim_with_a_lost_answer_runs_once(fault: LogFault) -> None:
    async with open_mesh() as mesh:
        mesh.log.fault = fault
        for _ in range(3):
            reply = await mesh.ask_until_settled(
                path=PATH,
                method='POST',
                headers=KEY,
            )
            check_promises(mesh, reply, method='POST')
        assert mesh.target.runs[PATH.encode()] == 1


async def test_repeat_gets_the_recorded_answer() -> None:
    async with open_mesh() as mesh:
        request = {'path': PATH, 'method': 'POST', 'headers': KEY}
        first = await mesh.ask_until_settled(**request)
        again = await mesh.ask_until_settled(**request)
        other = await mesh.ask_until_settled(**request, body=b'other')
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
async def test_repeat_after_a_fault(
    step: str,
    fault: Fault,
    outcome: str,
) -> None:
    async with open_mesh() as mesh:
        mesh.faults.add(step, fault, times=2 if fault is fail_before else 1)
        request = {'path': PATH, 'method': 'POST', 'headers': KEY}
        await mesh.ask_until_settled(**request)
        await mesh.timers.advance(120)
        again = await mesh.ask_until_settled(**request)
        assert again.outcome == outcome
        check_promises(mesh, again, method='POST')


async def test_caller_that_hangs_up_frees_the_slot() -> None:
    async with open_mesh(slots=1) as mesh:
        mesh.target.blocked = anyio.Event()
        hang_up = anyio.Event()
        async with anyio.create_task_group() as tg:
            for number in range(2):
                tg.start_soon(_ask_until(mesh, number, hang_up))
            await anyio.wait_all_tasks_blocked()
            hang_up.set()
        assert mesh.target.cancelled == 2
        mesh.target.blocked = None
        for _ in range(2):
            reply = await mesh.ask(PATH)
            assert reply is not None
            assert reply.status == 200


def _ask_until(mesh: Mesh, number: int, hang_up: anyio.Event):  # type: ignore[no-untyped-def]
    async def ask() -> None:
        reply = await mesh.ask(f'/menu/{number}', hang_up=hang_up)
        assert reply is None

    return ask


async def test_keyed_request_survives_its_callers_hang_up() -> None:
    async with open_mesh() as mesh:
        mesh.target.blocked = anyio.Event()
        hang_up = anyio.Event()
        request = {'path': PATH, 'method': 'POST', 'headers': KEY}
        async with anyio.create_task_group() as tg:

            async def ask() -> None:
                await mesh.ask(**request, hang_up=hang_up)

            tg.start_soon(ask)
            await mesh.timers.advance(0.1)
            hang_up.set()
            await anyio.wait_all_tasks_blocked()
            mesh.target.blocked.set()
        await mesh.timers.advance(1)
        again = await mesh.ask_until_settled(**request)
        assert again.headers[b'goldcrestwharf-replayed'] == b'true'
        assert mesh.target.runs[PATH.encode()] == 1


async def test_full_queue_refuses_at_once_and_deadline_as_not_run() -> None:
    objects = make_objects(queue=1, max_tries=1)
    async with open_mesh(objects, slots=1) as mesh:
        mesh.target.blocked = anyio.Event()
        replies: list[Reply] = []

        async def ask(number: int) -> None:
            reply = await mesh.ask(f'/menu/{number}', method='POST')
            assert reply is not None
            replies.append(reply)

        async with anyio.create_task_group() as tg:
            for number in range(8):
                tg.start_soon(ask, number)
                await anyio.wait_all_tasks_blocked()
            refused = [reply for reply in replies if reply.at == 0]
            await mesh.timers.advance(DEADLINE)
        assert {reply.outcome for reply in refused} == {'not-run'}
        assert len(refused) == 4
        late = [reply for reply in replies if reply.at > 0]
        outcomes = sorted(reply.outcome for reply in late)
        assert outcomes == ['not-run', 'not-run', 'unknown', 'unknown']
        assert sum(mesh.target.runs.values()) == 2


async def test_drain_cuts_off_nothing_and_refuses_the_rest() -> None:
    async with open_mesh() as mesh:
        mesh.target.blocked = anyio.Event()
        replies: list[Reply | None] = []

        async def ask() -> None:
            replies.append(await mesh.ask(PATH, method='POST'))

        async with anyio.create_task_group() as tg:
            tg.start_soon(ask)
            await anyio.wait_all_tasks_blocked()
            for daemon in (mesh.entry, *mesh.others):
                tg.start_soon(daemon.target_side.drain)
            await anyio.wait_all_tasks_blocked()
            refused = await mesh.ask(PATH, method='POST')
            assert refused is not None
            assert (refused.status, refused.reason) == (503, 'leaving')
            mesh.target.blocked.set()
        assert [reply and reply.status for reply in replies] == [200]


async def test_request_that_kills_its_targets_is_stopped_everywhere() -> None:
    async with open_mesh() as mesh:
        mesh.target.is_up = False
        mesh.faults.add('answer', lose_after, times=9)
        for _ in range(2):
            await mesh.ask_until_settled(path=PATH, method='POST')
        deaths = [
            verdict
            for daemon in mesh.others
            for verdict in daemon.guard.table.reports()
        ]
        for verdict in deaths:
            mesh.entry.guard.merge(verdict)
        reply = await mesh.ask_until_settled(path=PATH, method='POST')
        assert (reply.status, reply.reason) == (503, 'kills-targets')
        mesh.faults.pending.clear()
        other = await mesh.ask_until_settled(path='/menu/8', method='POST')
        assert other.status == 200
        assert mesh.target.runs[PATH.encode()] == 2


async def test_hops_pass_on_the_deadline_and_the_retries_spent() -> None:
    async with open_mesh() as mesh:
        mesh.faults.add('dispatch', lose_before)
        await mesh.ask_until_settled(
            path=PATH,
            headers=((b'goldcrestwharf-deadline-ms', b'500'),),
        )
        headers = dict(mesh.target.seen[0].headers)
        assert 400 <= int(headers[b'goldcrestwharf-deadline-ms']) <= 500
        assert headers[b'goldcrestwharf-attempt'] == b'1'


async def test_no_retry_upon_the_retry_of_an_earlier_hop() -> None:
    async with open_mesh() as mesh:
        mesh.faults.add('dispatch', lose_before)
        reply = await mesh.ask_until_settled(
            path=PATH,
            headers=((b'goldcrestwharf-attempt', b'1'),),
        )
        assert (reply.outcome, mesh.faults.pending['dispatch']) == (
            'unknown',
            [],
        )
