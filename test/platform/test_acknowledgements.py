"""Check that what a daemon acknowledges to its target is known afterwards."""

import json

import pytest

from goldcrestwharf.http1 import Request
from goldcrestwharf.platform._heartbeats import HeartbeatReceiver
from goldcrestwharf.platform._leaving import LeavingWriter
from goldcrestwharf.platform._store import Store
from test.platform.helper import StubStore, open_stub, run_platform_tasks
from test.platform.test_decoding import make_heartbeat
from test.proxy.helper import (
    Vm,
    is_linked,
    link_to_remote,
    open_vms,
    render,
    send_request,
    wait_until,
)

WRITE_TIMEOUT = 'goldcrestwharf.platform._leaving._WRITE_TIMEOUT_S'


def is_leaving(vm: Vm) -> bool:
    instance = vm.daemon.core.instance_tracker.current
    return instance is not None and instance.draining_since is not None


def make_call(vm: Vm, call: str) -> Request:
    """Return a call by which the target of a VM says that it will stop."""
    document = make_heartbeat()
    document['born'] = vm.target.crash.starts
    document['address'] = vm.target.address
    service = vm.daemon.core.cfg.service
    document['info'] = {'service': service, 'slot_count': 4}
    document['status'] = {'state': 'draining', 'sequence': 1_000}
    name = vm.daemon.core.cfg.name
    return Request(
        method=b'POST',
        target=f'/-/instances/i-{name}/{call}'.encode(),
        headers=[],
        body=json.dumps(document).encode(),
        received_at=0,
        has_body=True,
        wants_close=False,
    )


@pytest.mark.parametrize('call', ['heartbeat', 'deregister'])
async def test_leaving_at_the_end_of_a_stop_is_kept_or_not_acknowledged(
    call: str,
) -> None:
    """The streams were closed, so that no other daemon was told."""
    async with open_vms(2) as vms:
        entry, remote = await link_to_remote(vms)
        receiver = HeartbeatReceiver(daemon=remote.daemon)
        remote.daemon.close()
        answer = await receiver.answer(make_call(remote, call))
        await wait_until(lambda: not is_linked(entry, 'vm-1'))
        await remote.restart()
        remote.send_heartbeat()
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        is_known = bool(entry.daemon.core.departures)
    assert is_known or answer.status == 503


def make_receiver(vm: Vm, stub: StubStore) -> HeartbeatReceiver:
    store = Store(address=stub.address, epochs=vm.daemon.core.store_epochs)
    writer = LeavingWriter(daemon=vm.daemon, store=store)
    return HeartbeatReceiver(daemon=vm.daemon, leaving=writer)


@pytest.mark.parametrize('call', ['heartbeat', 'deregister'])
async def test_acknowledged_leaving_outlasts_a_restart_of_all_daemons(
    call: str,
) -> None:
    """A late heartbeat, sent before the leaving, says that it is ready."""
    async with open_stub() as stub, open_vms(2) as vms:
        entry, remote = await link_to_remote(vms)
        receiver = make_receiver(remote, stub)
        answer = await receiver.answer(make_call(remote, call))
        assert answer.status == 200
        for vm in vms:
            await vm.restart()
        async with run_platform_tasks(stub, vms):
            remote.send_heartbeat()
            await wait_until(lambda: is_linked(entry, 'vm-1'))
            await wait_until(lambda: is_leaving(remote))
            for vm in vms:
                response = await send_request(vm, render(deadline_ms=2000))
                assert response.status == 503
        assert not remote.target.runs


async def test_leaving_is_acknowledged_while_the_store_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(WRITE_TIMEOUT, 0.01)
    async with open_stub() as stub, open_vms(1) as vms:
        vms[0].send_heartbeat()
        receiver = make_receiver(vms[0], stub)
        stub.faults = ['silent']
        answer = await receiver.answer(make_call(vms[0], 'deregister'))
    assert answer.status == 200
    assert stub.newest == {}


async def test_leaving_is_written_again_after_a_failure() -> None:
    async with open_stub() as stub, open_vms(1) as vms:
        vms[0].send_heartbeat()
        receiver = make_receiver(vms[0], stub)
        stub.faults = [503]
        for _ in range(3):
            call = make_call(vms[0], 'deregister')
            assert (await receiver.answer(call)).status == 200
    assert list(stub.newest['keyed.daemons']) == ['leaving/vm-0']
    assert len(stub.calls) == 2
