"""Test against targets that answer after the deadline of a request."""

import pytest

from goldcrestwharf.http1 import connect
from test.proxy.helper import link_to_remote, open_vms, render

LONG_MS = 5000
SHORT_MS = 80


@pytest.mark.parametrize('is_remote', [False, True])
async def test_late_answer_never_reaches_the_next_request_of_a_connection(
    *, is_remote: bool
) -> None:
    async with open_vms(2) as vms:
        entry, owner = await link_to_remote(vms) if is_remote else vms[:1] * 2
        owner.send_heartbeat()
        conn = await connect(entry.callers, timeout=5)
        for number in range(10):
            is_late = bool(number % 2)
            if is_late:
                owner.target.gate.clear()
            response = await conn.exchange(
                render(
                    method='POST',
                    path='/menu/order',
                    request_id=f'r-{number}',
                    deadline_ms=SHORT_MS if is_late else LONG_MS,
                    body=b'%d' % number,
                )
            )
            owner.target.gate.set()
            assert conn.is_usable
            if is_late:
                assert response.status in {502, 504}
                assert not response.body
            else:
                assert response.status == 200
                assert response.body == b'done %d' % number
        conn.close()
