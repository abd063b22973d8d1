"""Check what a planned stop says to attempts that wait for a slot."""

import asyncio

import pytest

from goldcrestwharf.proxy import stop_gracefully
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    link_to_remote,
    open_vms,
    render,
    send_request,
    wait_until,
)

NON_REPEATABLE = make_snapshot(
    1, make_route(is_repeatable=False, timeout=5, objective=0.2)
)


def make_request(number: int) -> bytes:
    return render(method='POST', request_id=f'r-{number}', deadline_ms=5000)


async def test_attempt_that_waits_at_the_end_of_a_stop_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It has not run: a 502 would keep its caller from a retry."""
    module = 'goldcrestwharf.proxy._shutdown'
    monkeypatch.setattr(f'{module}._MAX_GRACE_FRACTION', 0.1)
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        slots = remote.daemon._local_target.scheduler.slots
        running = [
            asyncio.create_task(send_request(entry, make_request(number)))
            for number in range(slots)
        ]
        await wait_until(lambda: len(remote.target.runs) == slots)
        waiting = asyncio.create_task(send_request(entry, make_request(slots)))
        await wait_until(lambda: remote.daemon.activity().in_flight > slots)
        await stop_gracefully(remote.daemon)
        response = await waiting
        await asyncio.gather(*running)
    assert response.status == 503
    assert len(remote.target.runs) == slots
