"""Test that pauses of the process don't count as an unreachable server."""

import asyncio
import socket
import time

import pytest

from goldcrestwharf.http1 import connect
from test.proxy.helper import StubTarget

TIMEOUT_S = 0.2


@pytest.mark.parametrize('pause', [0.19, 0.21, 0.5])
async def test_pause_while_connecting_is_no_timeout(pause: float) -> None:
    target = StubTarget()
    await target.listen()
    opening = asyncio.ensure_future(connect(target.address, timeout=TIMEOUT_S))
    asyncio.get_running_loop().call_soon(time.sleep, pause)
    conn = await opening
    assert conn.is_usable
    conn.close()
    target.close()


async def test_server_that_accepts_nothing_is_a_timeout() -> None:
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        host, port = listener.getsockname()
        # It fills the backlog, so that the next connection isn't answered.
        first = socket.create_connection((host, port))
        with pytest.raises(OSError):
            await connect(f'{host}:{port}', timeout=0.1)
        first.close()
