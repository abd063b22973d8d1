"""Check the guarantees to callers on a mesh of processes and signals.

No result depends on a duration; each test waits until the state that it
needs has been reached.
"""

from collections.abc import AsyncIterator, Callable
from pathlib import Path

import anyio
import pytest

from test.system.mesh import (
    HANG_TIMEOUT_S,
    LoadGenerator,
    Mesh,
    Process,
    RequestRecord,
    make_object_set,
)
from test.system.signals import kill, pause, resume, terminate

ZONES = ('recife-a', 'recife-a', 'recife-b')


@pytest.fixture
async def mesh(tmp_path: Path) -> AsyncIterator[Mesh]:
    with anyio.fail_after(HANG_TIMEOUT_S):
        async with Mesh(tmp_path, ZONES) as running:
            outcome = await running.publish(running.vms[0], make_object_set())
            version = str(outcome['version'])
            await running.wait_for_version(version, running.vms)
            yield running


def check_records(mesh: Mesh, records: list[RequestRecord]) -> None:
    """Check the guarantees for non-repeatable requests under any fault."""
    runs = mesh.count_runs()
    for record in records:
        ran = runs[record.number]
        assert ran <= 1, f'{record} ran {ran} times'
        if record.status == 200:
            assert ran == 1, record
            assert record.echoed == record.number
        if record.outcome == 'not-run':
            assert ran == 0, record
        if record.status >= 400:
            assert record.outcome in {'not-run', 'unknown'}, record


async def run_load_during(
    mesh: Mesh,
    load: LoadGenerator,
    send_signal: Callable[[Process], None],
    process: Process,
) -> None:
    """Send a signal to a process while requests are in flight."""
    async with anyio.create_task_group() as tg:
        tg.start_soon(load.run)
        await load.wait_for_records(40)
        send_signal(process)
        await load.wait_for_records(200)
        load.is_stopping = True


async def test_graceful_shutdown_interrupts_no_request(mesh: Mesh) -> None:
    load = LoadGenerator(mesh=mesh, address=mesh.vms[0].caller_address)
    leaving_vm = mesh.vms[1]
    async with anyio.create_task_group() as tg:
        tg.start_soon(load.run)
        await load.wait_for_records(40)
        terminate(leaving_vm.target)
        assert await leaving_vm.target.wait() == 0
        terminate(leaving_vm.daemon)
        assert await leaving_vm.daemon.wait() == 0
        assert 'daemon.departed' in leaving_vm.daemon.log.read_text()
        await mesh.wait_for_dead(mesh.vms[0], 'recife-a')
        await load.wait_for_records(100)
        load.is_stopping = True
    assert {record.status for record in load.records} == {200}
    check_records(mesh, load.records)


async def test_stopped_entry_daemon_answers_all_in_flight(
    mesh: Mesh,
) -> None:
    entry_vm = mesh.vms[0]
    load = LoadGenerator(mesh=mesh, address=entry_vm.caller_address)
    async with anyio.create_task_group() as tg:
        tg.start_soon(load.run)
        await load.wait_for_records(40)
        terminate(entry_vm.daemon)
        assert await entry_vm.daemon.wait() == 0
        load.is_stopping = True
    interrupted = [
        record
        for record in load.records
        if record.outcome.startswith('transport')
        and mesh.count_runs()[record.number]
    ]
    assert not interrupted
    check_records(mesh, load.records)


async def test_request_that_outlasts_the_drain_is_reported_as_unknown(
    tmp_path: Path,
) -> None:
    with anyio.fail_after(HANG_TIMEOUT_S):
        async with Mesh(
            tmp_path,
            ZONES[:1],
            work_ms=60_000,
            drain_timeout_ms=1500,
        ) as mesh:
            entry_vm = mesh.vms[0]
            await mesh.publish(entry_vm, make_object_set(timeout_ms=50_000))
            await mesh.wait_for_version('1.0', mesh.vms)
            load = LoadGenerator(
                mesh=mesh, address=entry_vm.caller_address, concurrency=1
            )
            async with anyio.create_task_group() as tg:
                tg.start_soon(load.run)
                await mesh.wait_for_runs(1)
                load.is_stopping = True
                terminate(entry_vm.daemon)
                assert await entry_vm.daemon.wait() == 0
    assert [record.outcome for record in load.records] == ['unknown']


@pytest.mark.parametrize('send_signal', [kill, pause, terminate])
@pytest.mark.parametrize('part', ['daemon', 'target'])
async def test_faulty_vm_violates_no_guarantee(
    mesh: Mesh,
    send_signal: Callable[[Process], None],
    part: str,
) -> None:
    load = LoadGenerator(mesh=mesh, address=mesh.vms[0].caller_address)
    process: Process = getattr(mesh.vms[1], part)
    await run_load_during(mesh, load, send_signal, process)
    if send_signal is pause:
        resume(process)
    check_records(mesh, load.records)
    assert sum(record.status == 200 for record in load.records) > 100


async def test_platform_outage_keeps_serving_and_refuses_publishes(
    mesh: Mesh,
) -> None:
    load = LoadGenerator(mesh=mesh, address=mesh.vms[0].caller_address)
    await run_load_during(mesh, load, kill, mesh.platform)
    assert {record.status for record in load.records} == {200}
    outcome = await mesh.publish(mesh.vms[0], make_object_set(timeout_ms=4000))
    assert outcome['outcome'] in {'unavailable', 'unknown'}


async def test_replaced_platform_log_reverts_no_daemon(mesh: Mesh) -> None:
    await mesh.publish(mesh.vms[0], make_object_set(timeout_ms=4000))
    await mesh.wait_for_version('1.1', mesh.vms)
    mesh.platform.kill()
    mesh.platform.start()
    outcome = await mesh.publish(mesh.vms[1], make_object_set(timeout_ms=3000))
    assert outcome['outcome'] != 'published'
    for vm in mesh.vms:
        assert await mesh.version(vm) == '1.1'


async def test_restarted_daemon_recovers_the_current_version(
    mesh: Mesh,
) -> None:
    restarted_vm = mesh.vms[2]
    kill(restarted_vm.daemon)
    await restarted_vm.daemon.wait()
    await mesh.publish(mesh.vms[0], make_object_set(timeout_ms=4000))
    await mesh.wait_for_version('1.1', mesh.vms[:2])
    mesh.platform.kill()
    restarted_vm.daemon.start()
    await mesh.wait_for_version('1.1', [restarted_vm])


async def test_one_of_several_concurrent_publishes_wins(mesh: Mesh) -> None:
    outcomes: list[dict[str, object]] = []

    async def publish(number: int) -> None:
        body = {
            'text': make_object_set(timeout_ms=3000 + number),
            'base': '1.0',
        }
        outcome = await mesh.call_admin_api(
            mesh.vms[number], '/v1/publish', body
        )
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


async def test_idempotency_key_runs_once_on_all_daemons(
    mesh: Mesh,
) -> None:
    statuses: list[int] = []

    async def order(number: int) -> None:
        entry_vm = mesh.vms[number % 3]
        answer = await mesh.client.post(
            f'http://{entry_vm.caller_address}/lunch/order',
            headers={'request-number': 'order', 'idempotency-key': 'order-1'},
        )
        statuses.append(answer.status_code)

    async with anyio.create_task_group() as tg:
        for number in range(9):
            tg.start_soon(order, number)
    assert mesh.count_runs()['order'] == 1
    assert 200 in statuses
