"""Check what daemons do with the states of roll-outs."""

import asyncio

import attrs

from goldcrestwharf.discovery import DaemonRecord, ReportedRecord
from goldcrestwharf.proxy import RolloutExchange
from goldcrestwharf.rollouts import Phase, RolloutOrder, RolloutState
from test.proxy.helper import (
    Vm,
    free_address,
    is_linked,
    open_vm,
    open_vms,
    render,
    send_request,
    wait_until,
)


def make_state(vm: Vm, phase: Phase = Phase.TRIAL) -> RolloutState:
    order = RolloutOrder(
        service='kitchen', version='v2', duration=60, offset=7, epoch=1
    )
    return RolloutState(
        order=order,
        began_at=vm.daemon.core.clock(),
        phase=phase,
        has_started=True,
    )


def find_rollouts(vm: Vm) -> RolloutExchange:
    core = vm.daemon.core
    return core.rollouts


async def test_owner_refuses_a_version_that_was_rolled_back() -> None:
    """Guards against entries that have not heard of it yet."""
    async with open_vms(2) as (entry, owner):
        owner.send_heartbeat(version='v2')
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        state = make_state(owner, Phase.ROLLED_BACK)
        find_rollouts(owner).table.offer(state)
        answer = await send_request(entry, render())
    assert answer.status == 503
    assert not owner.target.runs


async def test_controller_that_is_cut_off_lets_its_lease_end() -> None:
    """Guards against a zone that tries a version that others withdrew."""
    async with open_vm() as vm:
        core = vm.daemon.core
        table = core.rollouts.table
        table.offer(make_state(vm))
        await wait_until(lambda: table.has_lease('kitchen'))
        for number in range(3):
            record = DaemonRecord(
                name=f'lost-{number}', address=free_address(), zone='zone-b'
            )
            core.directory.record_report(
                ReportedRecord(record=record), core.clock()
            )
        await wait_until(lambda: not table.has_lease('kitchen'))


async def test_order_and_its_end_reach_all_daemons() -> None:
    async with open_vms(3) as vms:
        for vm in vms[1:]:
            vm.send_heartbeat(version='v1')
        await wait_until(lambda: is_linked(vms[0], 'vm-2'))
        state = make_state(vms[0])
        find_rollouts(vms[0]).offer(state)
        tables = [find_rollouts(vm).table for vm in vms]
        await wait_until(lambda: all(one.find('kitchen') for one in tables))
        ended = attrs.evolve(state, phase=Phase.ROLLED_BACK, is_written=True)
        find_rollouts(vms[0]).offer(ended)
        await wait_until(
            lambda: all(one.find_rejected('kitchen') for one in tables)
        )


async def test_old_targets_get_all_requests_until_a_lease_arrives() -> None:
    """Guards against exposure by an order that nobody controls."""
    async with open_vms(3) as vms:
        entry, old, new = vms
        old.send_heartbeat(version='v1')
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        await send_request(entry, render(request_id='first'))
        new.send_heartbeat(version='v2')
        await wait_until(lambda: is_linked(entry, 'vm-2'))
        state = attrs.evolve(make_state(entry), has_started=False)
        find_rollouts(entry).offer(state)
        for number in range(30):
            await send_request(entry, render(request_id=f'r-{number}'))
        await asyncio.sleep(0)
        assert not new.target.runs
