"""Check the promises on a whole mesh of real processes and signals.

No verdict depends on how long something took; each test waits until the
state that it needs is there.
"""

from collections.abc import AsyncIterator, Callable
from pathlib import Path

import anyio
import pytest

from test.system.mesh import (
    HANG_S,
    Answered,
    Load,
    Mesh,
    Process,
    make_set,
)
from test.system.signals import kill, pause, resume, terminate

ZONES = ('recife-a', 'recife-a', 'recife-b')


@pytest.fixture
async def mesh(tmp_path: Path) -> AsyncIterator[Mesh]:
    with anyio.fail_after(HANG_S):
        async with Mesh(tmp_path, ZONES) as running:
            outcome = await running.publish(running.vms[0], make_set())
            version = str(outcome['version'])
            await running.wait_for_version(version, running.vms)
            yield running


def check_answers(mesh: Mesh, answers: list[Answered]) -> None:
    """Check what must hold of non-repeatable requests under any fault."""
    runs = mesh.runs()
    for answered in answers:
        ran = runs[answered.number]
        assert ran <= 1, f'{answered} ran {ran} times'
        if answered.status == 200:
            assert ran == 1, answered
            assert answered.echoed == answered.number
        if answered.outcome == 'not-run':
            assert ran == 0, answered
        if answered.status >= 400:
            assert answered.outcome in {'not-run', 'unknown'}, answered


async def drive(
    mesh: Mesh,
    load: Load,
    act: Callable[[Process], None],
    process: Process,
) -> None:
    """Do something to a process while requests are in flight."""
    async with anyio.create_task_group() as tg:
        tg.start_soon(load.run)
        await load.wait_for(40)
        act(process)
        await load.wait_for(200)
        load.stopping = True


async def test_graceful_stops_cut_off_no_request(mesh: Mesh) -> None:
    load = Load(mesh=mesh, entry=mesh.vms[0].caller)
    leaving = mesh.vms[1]
    async with anyio.create_task_group() as tg:
        tg.start_soon(load.run)
        await load.wait_for(40)
        terminate(leaving.target)
        assert await leaving.target.wait() == 0
        terminate(leaving.daemon)
        assert await leaving.daemon.wait() == 0
        assert 'daemon.departed' in leaving.daemon.log.read_text()
        await mesh.wait_for_dead(mesh.vms[0], 'recife-a')
        await load.wait_for(100)
        load.stopping = True
    assert {answered.status for answered in load.answers} == {200}
    check_answers(mesh, load.answers)


async def test_stopped_entry_daemon_answers_all_in_flight(
    mesh: Mesh,
) -> None:
    entry = mesh.vms[0]
    load = Load(mesh=mesh, entry=entry.caller)
    async with anyio.create_task_group() as tg:
        tg.start_soon(load.run)
        await load.wait_for(40)
        terminate(entry.daemon)
        assert await entry.daemon.wait() == 0
        load.stopping = True
    cut_off = [
        answered
        for answered in load.answers
        if answered.outcome.startswith('transport')
        and mesh.runs()[answered.number]
    ]
    assert not cut_off
    check_answers(mesh, load.answers)


async def test_request_that_outlasts_the_drain_is_said_to_be_unknown(
    tmp_path: Path,
) -> None:
    with anyio.fail_after(HANG_S):
        async with Mesh(
            tmp_path,
            ZONES[:1],
            work_ms=60_000,
            drain_timeout_ms=1500,
        ) as mesh:
            entry = mesh.vms[0]
            await mesh.publish(entry, make_set(timeout_ms=50_000))
            await mesh.wait_for_version('1.0', mesh.vms)
            load = Load(mesh=mesh, entry=entry.caller, at_once=1)
            async with anyio.create_task_group() as tg:
                tg.start_soon(load.run)
                await mesh.wait_for_runs(1)
                load.stopping = True
                terminate(entry.daemon)
                assert await entry.daemon.wait() == 0
    assert [answered.outcome for answered in load.answers] == ['unknown']


@pytest.mark.parametrize('act', [kill, pause, terminate])
@pytest.mark.parametrize('part', ['daemon', 'target'])
async def test_faulty_vm_breaks_no_promise(
    mesh: Mesh,
    act: Callable[[Process], None],
    part: str,
) -> None:
    load = Load(mesh=mesh, entry=mesh.vms[0].caller)
    process: Process = getattr(mesh.vms[1], part)
    await drive(mesh, load, act, process)
    if act is pause:
        resume(process)
    check_answers(mesh, load.answers)
    assert sum(answered.status == 200 for answered in load.answers) > 100


async def test_platform_outage_keeps_serving_and_refuses_publishes(
    mesh: Mesh,
) -> None:
    load = Load(mesh=mesh, entry=mesh.vms[0].caller)
    await drive(mesh, load, kill, mesh.platform)
    assert {answered.status for answered in load.answers} == {200}
    outcome = await mesh.publish(mesh.vms[0], make_set(timeout_ms=4000))
    assert outcome['outcome'] in {'unavailable', 'unknown'}


async def test_replaced_platform_log_takes_nobody_back(mesh: Mesh) -> None:
    await mesh.publish(mesh.vms[0], make_set(timeout_ms=4000))
    await mesh.wait_for_version('1.1', mesh.vms)
    mesh.platform.end()
    mesh.platform.start()
    outcome = await mesh.publish(mesh.vms[1], make_set(timeout_ms=3000))
    assert outcome['outcome'] != 'published'
    for vm in mesh.vms:
        assert await mesh.version(vm) == '1.1'


async def test_restarted_daemon_comes_back_to_the_current_version(
    mesh: Mesh,
) -> None:
    restarted = mesh.vms[2]
    kill(restarted.daemon)
    await restarted.daemon.wait()
    await mesh.publish(mesh.vms[0], make_set(timeout_ms=4000))
    await mesh.wait_for_version('1.1', mesh.vms[:2])
    mesh.platform.end()
    restarted.daemon.start()
    await mesh.wait_for_version('1.1', [restarted])


async def test_racing_operators_have_one_winner(mesh: Mesh) -> None:
    outcomes: list[dict[str, object]] = []

    async def publish(number: int) -> None:
        body = {'text': make_set(timeout_ms=3000 + number), 'base': '1.0'}
        outcome = await mesh.ask(mesh.vms[number], '/v1/publish', body)
        outcomes.append(outcome)

    async with anyio.create_task_group() as tg:
        for number in range(3):
            tg.start_soon(publish, number)
    kinds = sorted(str(outcome['outcome']) for outcome in outcomes)
    assert kinds == ['published', 'superseded', 'superseded']
    winner = next(
        str(one['version']) for one in outcomes if one['outcome'] == 'published'
    )
    await mesh.wait_for_version(winner, mesh.vms)


async def test_idempotency_key_runs_once_wherever_it_is_sent(
    mesh: Mesh,
) -> None:
    answers: list[int] = []

    async def order(number: int) -> None:
        entry = mesh.vms[number % 3]
        answer = await mesh.client.post(
            f'http://{entry.caller}/lunch/order',
            headers={'request-number': 'order', 'idempotency-key': 'order-1'},
        )
        answers.append(answer.status_code)

    async with anyio.create_task_group() as tg:
        for number in range(9):
            tg.start_soon(order, number)
    assert mesh.runs()['order'] == 1
    assert 200 in answers
