"""Check that odd entries beside daemons leave the requests served.

The entries are those of another writer in the store's list of daemons, and
heartbeats at each daemon.
"""

import json

import pytest

from goldcrestwharf.http1 import Request
from goldcrestwharf.platform._heartbeats import HeartbeatReceiver
from test.platform.helper import StubStore, open_stub, run_platform_tasks
from test.platform.odd_values import ODD_JSON, replace_each_field
from test.platform.test_decoding import make_heartbeat
from test.proxy.helper import (
    Vm,
    find_link,
    open_vms,
    render,
    send_request,
    wait_until,
)

TOPIC = 'keyed.daemons'


def make_heartbeat_call(body: bytes) -> Request:
    return Request(
        method=b'POST',
        target=b'/-/instances/i-odd/heartbeat',
        headers=[],
        body=body,
        received_at=0,
        has_body=True,
        wants_close=False,
    )


def put_odd_entries(stub: StubStore) -> None:
    """Put entries that sort before, between and behind those of daemons."""
    stub.page_size = 100
    document = {'address': '127.0.0.1:9', 'zone': 'zone-a'}
    for kind, written in ODD_JSON.items():
        for number, body in enumerate(replace_each_field(document, written)):
            for prefix in ('a', 'vm-1', 'z'):
                stub.put(TOPIC, f'{prefix}-{kind}-{number}', body)


async def send_odd_heartbeats(vm: Vm) -> None:
    """Send heartbeats that name the target of the daemon."""
    document = make_heartbeat()
    document['address'] = vm.target.address
    service = vm.daemon.core.cfg.service
    document['info'] = {'service': service, 'slot_count': 4}
    receiver = HeartbeatReceiver(daemon=vm.daemon)
    for written in ODD_JSON.values():
        for body in replace_each_field(document, written):
            await receiver.answer(make_heartbeat_call(body))


def unlink(vms: list[Vm]) -> None:
    """Let the daemons know of each other from the store alone."""
    for vm in vms:
        directory = vm.daemon.core.directory
        for record in directory.records():
            directory._entries.pop(record.name)
        vm.daemon.handle_directory_change()


def sees_all(vm: Vm, vms: list[Vm]) -> bool:
    others = [other.daemon.core.cfg.name for other in vms if other is not vm]
    links = [find_link(vm, name) for name in others]
    return all(link and link.is_up and link.target.candidate for link in links)


async def assert_served_at_all(vms: list[Vm]) -> None:
    """Request a service whose only target is beside the last daemon."""
    for vm in vms:
        vm.send_heartbeat()
    await wait_until(lambda: all(sees_all(vm, vms) for vm in vms))
    for vm in vms:
        response = await send_request(vm, render(deadline_ms=2000))
        assert response.status == 200


@pytest.mark.parametrize('is_odd', [True, False])
async def test_odd_entries_leave_requests_served_across_daemons(
    is_odd: bool,
) -> None:
    """One entry ended the list of daemons at all of them, for good."""
    services = ('bar', 'bar', 'bar', 'kitchen')
    async with open_stub() as stub, open_vms(4, services=services) as vms:
        if is_odd:
            put_odd_entries(stub)
            for vm in vms:
                await send_odd_heartbeats(vm)
        for _ in ('before', 'after a restart'):
            unlink(vms)
            async with run_platform_tasks(stub, vms):
                await assert_served_at_all(vms)
            for vm in vms:
                await vm.restart()


async def test_odd_heartbeat_is_refused_and_the_next_one_counts() -> None:
    async with open_vms(1) as vms:
        await send_odd_heartbeats(vms[0])
        document = make_heartbeat()
        document['address'] = vms[0].target.address
        document['info'] = {'service': 'kitchen', 'slot_count': 4}
        receiver = HeartbeatReceiver(daemon=vms[0].daemon)
        call = make_heartbeat_call(json.dumps(document).encode())
        answer = await receiver.answer(call)
        assert answer.status == 200
