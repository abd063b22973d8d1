"""Test that streams are opened on demand."""

import anyio
import attrs
import pytest

from goldcrestwharf.errors import NotSentError
from goldcrestwharf.peers import PeerPool
from goldcrestwharf.timers import ManualTimers
from goldcrestwharf.wire import message
from test.helper import make_peer_context, make_rng


@message('test.pool_order')
@attrs.frozen(kw_only=True)
class PoolOrder:
    meal: str = ''


async def hold(stream: anyio.abc.SocketStream) -> None:
    async with stream:
        await anyio.sleep_forever()


async def test_call_timeout_does_not_end_the_opening_of_a_stream() -> None:
    timers = ManualTimers()
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    refused: list[str] = []
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, hold)
        context = make_peer_context(timers=timers)
        pool = PeerPool(context=context, tg=tg, rng=make_rng())

        async def call() -> None:
            with pytest.raises(NotSentError) as caught:
                await pool.call(f'127.0.0.1:{port}', PoolOrder(), timeout=1)
            refused.append(caught.value.reason)

        async with anyio.create_task_group() as calls:
            for _ in range(2):
                calls.start_soon(call)
            await timers.advance(1)
        assert all('opened in time' in reason for reason in refused)
        async with anyio.create_task_group() as calls:
            calls.start_soon(call)
            await timers.advance(1)
        assert len(refused) == 3
        tg.cancel_scope.cancel()
    assert 'backoff' not in refused[-1]


@pytest.mark.parametrize(
    'address', ['127.0.0.1:70000', '127.0.0.1:-1', 'a..b:80', 'a', 'a:x', '']
)
async def test_odd_address_of_a_daemon_fails_the_call_alone(
    address: str,
) -> None:
    """It ended the tasks of all streams."""
    async with anyio.create_task_group() as tg:
        context = make_peer_context(timers=ManualTimers())
        pool = PeerPool(context=context, tg=tg, rng=make_rng())
        with pytest.raises(NotSentError):
            await pool.call(address, PoolOrder(), timeout=1)
        assert not tg.cancel_scope.cancel_called
        tg.cancel_scope.cancel()
