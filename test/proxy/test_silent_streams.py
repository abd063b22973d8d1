"""Test attempts on streams that fall silent while they stay open."""

import pytest

from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    Vm,
    find_link,
    is_linked,
    open_vms,
    render,
    send_request,
    wait_until,
)

DEADLINE_MS = 10_000


def silence_streams(vm: Vm) -> None:
    """Have a daemon neither read nor write on its open streams."""
    for stream in vm.daemon._sessions._by_stream:
        stream._transport.pause_reading()
        stream.send = lambda _: None  # type: ignore[method-assign]


def is_suspect(vm: Vm, name: str) -> bool:
    link = find_link(vm, name)
    return link is not None and link.liveness.is_suspect


@pytest.mark.parametrize('is_repeatable', [True, False])
async def test_attempt_on_a_silent_stream_runs_once_on_another_target(
    is_repeatable: bool,
) -> None:
    route = make_route(is_repeatable=is_repeatable, timeout=10, objective=5)
    async with open_vms(3, make_snapshot(1, route)) as vms:
        entry, silent, other = vms
        silent.send_heartbeat()
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        other.send_heartbeat()
        await wait_until(lambda: is_linked(entry, 'vm-2'))
        silence_streams(silent)
        for number in range(4):
            message = render(request_id=f'r-{number}', deadline_ms=DEADLINE_MS)
            response = await send_request(entry, message)
            assert response.status == 200
        runs = [req.find(b'request-id') for req in other.target.runs]
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        await wait_until(lambda: not is_suspect(entry, 'vm-1'))
    ran = sorted(runs + [req.find(b'request-id') for req in silent.target.runs])
    assert ran == [b'r-0', b'r-1', b'r-2', b'r-3']


async def test_stream_is_replaced_while_the_silent_one_is_still_open() -> None:
    async with open_vms(2) as vms:
        entry, silent = vms
        silent.send_heartbeat()
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        link = find_link(entry, 'vm-1')
        assert link is not None
        before = link._stream
        silence_streams(silent)
        link.liveness.request_ping()
        await wait_until(lambda: link._stream is not before)
        # Without a gap in which nothing can be sent.
        assert link.is_up
