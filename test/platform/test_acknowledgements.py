"""Check that what a daemon acknowledges to its target is known afterwards."""

import json

import pytest

from goldcrestwharf.http1 import Request
from goldcrestwharf.platform._heartbeats import HeartbeatReceiver
from test.platform.test_decoding import make_heartbeat
from test.proxy.helper import (
    Vm,
    is_linked,
    link_to_remote,
    open_vms,
    wait_until,
)


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
