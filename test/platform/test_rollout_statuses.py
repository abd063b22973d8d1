"""Check roll-outs from the order in the store to its status there."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from goldcrestwharf.discovery import StoreEpochs
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.platform._configuration_loader import ConfigurationLoader
from goldcrestwharf.platform._rollouts import OrderReader, StatusWriter
from goldcrestwharf.platform._store import ConflictError, KeyedRecord, Store
from goldcrestwharf.platform._watch import ConfigurationWatch
from goldcrestwharf.rollouts import Phase, RolloutState
from test.helper import make_rng
from test.platform.helper import StubStore, open_stub
from test.proxy.helper import (
    TEST_TIMEOUT_S,
    Vm,
    is_linked,
    open_vms,
    render,
    send_request,
    wait_until,
)

KEY = 'rollout/kitchen'


@asynccontextmanager
async def run_tasks(stub: StubStore, vms: list[Vm]) -> AsyncIterator[None]:
    """Let each daemon read orders and write statuses."""
    tasks = []
    for vm in vms:
        core = vm.daemon.core
        epochs = core.store_epochs
        watch = ConfigurationWatch(
            store=Store(address=stub.address, epochs=epochs),
            loader=ConfigurationLoader(holder=vm.holder),
            rng=make_rng(),
            role=vm.daemon.reader_role,
            epochs=epochs,
        )
        watch.orders = OrderReader(rollouts=core.rollouts, clock=core.clock)
        writer = StatusWriter(
            store=Store(address=stub.address, epochs=epochs),
            statuses=vm.daemon.rollout_statuses,
            rng=make_rng(),
        )
        tasks.append(asyncio.create_task(watch.run()))
        tasks.append(asyncio.create_task(writer.run()))
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


_StoreAndVms = tuple[StubStore, list[Vm]]


@asynccontextmanager
async def open_rollout() -> AsyncIterator[_StoreAndVms]:
    """Yield an entry without a target, two old targets and a new one."""
    async with open_stub() as stub, open_vms(4) as vms:
        for vm, version in zip(vms[1:], ('v1', 'v1', 'v2'), strict=True):
            vm.send_heartbeat(version=version)
        await wait_until(lambda: all(map(is_linked_to_targets, vms)))
        async with run_tasks(stub, vms):
            yield stub, vms


def is_linked_to_targets(vm: Vm) -> bool:
    names = {'vm-1', 'vm-2', 'vm-3'} - {vm.daemon.core.cfg.name}
    return all(is_linked(vm, one) for one in names)


def find_order(vm: Vm) -> RolloutState | None:
    rollouts = vm.daemon.core.rollouts
    return rollouts.table.find('kitchen')


def has_rejected(vm: Vm) -> bool:
    state = find_order(vm)
    return state is not None and state.phase is Phase.ROLLED_BACK


def offer(vm: Vm, state: RolloutState) -> None:
    rollouts = vm.daemon.core.rollouts
    rollouts.offer(state)


def put_order(stub: StubStore, duration: str) -> None:
    order = {
        'service': 'kitchen',
        'target_version': 'v2',
        'duration': duration,
    }
    stub.put('keyed.op', KEY, json.dumps(order).encode())


def find_state(stub: StubStore) -> str:
    written = stub.newest.get('keyed.status', {}).get(KEY, b'{}')
    return str(json.loads(written).get('state', ''))


def list_states(stub: StubStore) -> list[str]:
    partition = stub.topics.get('keyed.status')
    records = partition.records if partition else []
    return [json.loads(record[1 + record[0] :])['state'] for record in records]


async def send_until_ended(stub: StubStore, vm: Vm) -> None:
    number = 0
    while find_state(stub) not in {'completed', 'rolled_back'}:
        number += 1
        await send_request(vm, render(request_id=f'r-{number}'))
        await asyncio.sleep(0.002)


def fail(_: Request) -> Answer:
    return Answer(status=500)


async def test_good_version_is_completed_with_a_bounded_trial() -> None:
    """Guards against exposure before the verdict, and a late end."""
    async with open_rollout() as (stub, vms):
        entry, _, _, new = vms
        put_order(stub, '4s')
        began_at = asyncio.get_running_loop().time()
        sent = 0
        while find_state(stub) != 'completed':
            state = find_order(entry)
            if state is None or state.phase is Phase.TRIAL:
                assert len(new.target.runs) <= 0.1 * sent + 2
            sent += 1
            await send_request(entry, render(request_id=f'r-{sent}'))
            await asyncio.sleep(0.002)
        elapsed = asyncio.get_running_loop().time() - began_at
        counts = [len(vm.target.runs) for vm in vms]
        await send_request(entry, render(request_id='after'))
        after = [len(vm.target.runs) for vm in vms]
    assert list_states(stub) == ['running', 'completed']
    assert 2.4 <= elapsed < 4
    assert after == [*counts[:3], counts[3] + 1]


async def test_failing_version_is_rolled_back_after_a_few_answers() -> None:
    """Guards against a bad version that keeps its traffic."""
    async with open_rollout() as (stub, vms):
        entry, _, _, new = vms
        new.target.answer = fail
        put_order(stub, '8s')
        await send_until_ended(stub, entry)
        runs = len(new.target.runs)
        for number in range(50):
            await send_request(entry, render(request_id=f'after-{number}'))
        assert len(new.target.runs) == runs
    assert list_states(stub) == ['running', 'rolled_back']
    assert 5 <= runs < 50


async def test_bad_version_loses_its_traffic_while_the_store_is_away() -> None:
    """Guards against a roll-back that waits for the store."""
    async with open_rollout() as (stub, vms):
        entry, _, _, new = vms
        put_order(stub, '8s')
        await wait_until(lambda: find_state(stub) == 'running')
        stub.faults = [503 for _ in range(200)]
        new.target.answer = fail
        number = 0
        while not has_rejected(entry):
            number += 1
            await send_request(entry, render(request_id=f'r-{number}'))
            await asyncio.sleep(0.002)
        runs = len(new.target.runs)
        await send_request(entry, render(request_id='after'))
        assert len(new.target.runs) == runs
        assert find_state(stub) == 'running'
        stub.faults = []
        await wait_until(lambda: find_state(stub) == 'rolled_back')


async def test_order_that_ended_before_a_loss_of_all_daemons_stays() -> None:
    """Guards against a second trial of a version that was rolled back."""
    async with open_stub() as stub, open_vms(4) as vms:
        put_order(stub, '60s')
        ended = {'state': 'rolled_back', 'target_version': 'v2'}
        stub.put('keyed.status', KEY, json.dumps(ended).encode())
        async with run_tasks(stub, vms):
            await wait_until(lambda: has_rejected(vms[0]))
            assert list_states(stub) == ['rolled_back']


async def test_controllers_cant_end_an_order_differently() -> None:
    """Guards against a second terminal status after the first one."""
    async with open_rollout() as (stub, vms):
        put_order(stub, '60s')
        await wait_until(lambda: find_state(stub) == 'running')
        # Another controller, cut off from these daemons, completes the order.
        ended = {'state': 'completed', 'target_version': 'v2'}
        stub.put('keyed.status', KEY, json.dumps(ended).encode())
        state = find_order(vms[0])
        assert state is not None
        for vm in vms:
            offer(vm, attrs.evolve(state, phase=Phase.ROLLED_BACK))
        await wait_until(lambda: _is_settled(vms[0], Phase.COMPLETED))
        assert list_states(stub) == ['running', 'completed']


def _is_settled(vm: Vm, phase: Phase) -> bool:
    state = find_order(vm)
    return state is not None and state.is_settled and state.phase is phase


async def test_status_is_written_again_to_a_restored_store() -> None:
    """Guards against a terminal status that a restore has lost."""
    async with open_rollout() as (stub, vms):
        entry, _, _, new = vms
        new.target.answer = fail
        put_order(stub, '8s')
        await send_until_ended(stub, entry)
        stub.restore('keyed.status', 1, swallows=False)
        assert find_state(stub) == 'running'
        await wait_until(lambda: find_state(stub) == 'rolled_back')


async def test_conditional_append_is_refused_after_another_append() -> None:
    """Guards against an append that overwrites what was not read."""
    async with open_stub() as stub, asyncio.timeout(TEST_TIMEOUT_S):
        store = Store(address=stub.address, epochs=StoreEpochs())
        record = KeyedRecord(key='k', payload=b'v')
        await store.append('keyed.status', record, at=0)
        with pytest.raises(ConflictError):
            await store.append('keyed.status', record, at=0)
        store.close()
    assert stub.topics['keyed.status'].end == 1


def count_controllers(vms: list[Vm]) -> int:
    return sum(find_controller([vm]) is not None for vm in vms)


def find_controller(vms: list[Vm]) -> Vm | None:
    for vm in vms:
        if 'kitchen' in vm.daemon.rollout_statuses.controlled:
            return vm
    return None


async def test_order_survives_the_loss_of_its_controller() -> None:
    """Guards against an order that nobody ends, and a second trial."""
    async with open_rollout() as (stub, vms):
        put_order(stub, '12s')
        await wait_until(lambda: count_controllers(vms) == 1)
        lost = find_controller(vms)
        assert lost is not None
        lost.daemon.close()
        assert lost is not vms[-1], 'the only new target must stay'
        rest = [vm for vm in vms if vm is not lost]
        sending = asyncio.create_task(send_until_ended(stub, rest[0]))
        await wait_until(lambda: find_controller(rest) is not None)
        await sending
    assert list_states(stub) == ['running', 'completed']


async def test_restarted_entry_learns_of_the_order_before_the_targets() -> None:
    """Guards against exposure by an entry that has just started."""
    async with open_rollout() as (stub, vms):
        entry, _, _, new = vms
        put_order(stub, '60s')
        await wait_until(lambda: find_order(entry) is not None)
        await wait_until(lambda: find_order(new) is not None)
        # Only the new target is left, however slowly this test runs.
        for old in vms[1:3]:
            old.daemon.close()
        await entry.restart()
        entry.add_peer(new)
        await wait_until(lambda: is_linked(entry, 'vm-3'))
        answer = await send_request(entry, render())
        assert answer.status == 503
        assert not new.target.runs
