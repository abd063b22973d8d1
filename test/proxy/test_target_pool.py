"""Test how a target counts as alive."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from goldcrestwharf.http1 import Response, connect
from goldcrestwharf.proxy._target_pool import TargetPool
from test.proxy.helper import StubTarget

RESPONSE = Response(status=200, headers=[], body=b'', can_reuse=True)


@attrs.define(kw_only=True)
class Scene:
    target: StubTarget
    pool: TargetPool


@asynccontextmanager
async def open_scene() -> AsyncIterator[Scene]:
    """Yield a target and a pool with an idle connection to it."""
    target = StubTarget()
    await target.listen()
    pool = TargetPool(
        address=target.address, clock=asyncio.get_running_loop().time
    )
    conn = await connect(target.address, timeout=5)
    pool.put_back(conn, RESPONSE)
    yield Scene(target=target, pool=pool)
    pool.close()
    target.close()


async def test_open_idle_connection_does_not_prove_a_target_alive() -> None:
    async with open_scene() as scene:
        scene.target._listener.stop_accepting()
        # The connection is still usable, as one whose reset is on its way.
        idle = await scene.pool.take(is_repeatable=True)
        assert idle.is_usable
        scene.pool.put_back(idle, RESPONSE)
        assert not await scene.pool.is_target_alive()


async def test_connection_that_proved_a_target_alive_is_reused() -> None:
    async with open_scene() as scene:
        assert await scene.pool.is_target_alive()
        assert (await scene.pool.take(is_repeatable=True)).is_usable
        assert (await scene.pool.take(is_repeatable=True)).is_usable
        assert len(scene.target._listener.serving.conns) == 2
