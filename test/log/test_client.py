from collections.abc import Callable

import anyio
import httpx
import pytest

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.log import (
    HttpLog,
    PlatformBusyError,
    PlatformRequestError,
    PlatformSettings,
)
from goldcrestwharf.timers import ManualTimers, SystemTimers
from test.helper import make_rng
from test.log.helper import open_client

Answer = Callable[[httpx.Request], httpx.Response]


def fail_with(kind: type[Exception]) -> Answer:
    def factory(_req: httpx.Request) -> httpx.Response:
        raise kind('injected')

    return factory


def answer(status: int, body: object = None) -> Answer:
    return lambda _req: httpx.Response(status, json=body)


def make_log(respond: Answer, timers: ManualTimers) -> HttpLog:
    client = httpx.AsyncClient(
        base_url='http://platform.example',
        transport=httpx.MockTransport(respond),
    )
    cfg = PlatformSettings(max_tries=3)
    return HttpLog(client=client, timers=timers, rng=make_rng(), cfg=cfg)


@pytest.mark.parametrize(
    ('respond', 'is_effect_unknown'),
    [
        (fail_with(httpx.ConnectError), False),
        (fail_with(httpx.ConnectTimeout), False),
        (fail_with(httpx.ReadTimeout), True),
        (fail_with(httpx.WriteError), True),
        (fail_with(httpx.ReadError), True),
        (fail_with(httpx.RemoteProtocolError), True),
        (answer(200, {'offset': 'x'}), True),
        (answer(200, ['offset']), True),
        (answer(500), True),
        (answer(502), True),
        (answer(503), True),
        (answer(503, {'error': 'out', 'is_effect_unknown': False}), False),
        (answer(504, {'error': 'lost', 'is_effect_unknown': True}), True),
        (answer(302), True),
    ],
)
async def test_effect_is_unknown_unless_nothing_was_sent_or_the_log_says_so(
    respond: Answer,
    is_effect_unknown: bool,
) -> None:
    log = make_log(respond, ManualTimers())
    with pytest.raises(PlatformUnavailableError) as caught:
        await log.append('config', [b'a'])
    assert caught.value.is_effect_unknown is is_effect_unknown


async def test_error_of_a_refused_request_has_the_reason() -> None:
    failure = {'error': 'too large', 'is_effect_unknown': False}
    log = make_log(answer(413, failure), ManualTimers())
    with pytest.raises(PlatformRequestError, match='too large'):
        await log.append('config', [b'a'])


async def test_retries_wait_for_retry_after_and_are_limited() -> None:
    timers = ManualTimers()
    attempted_at: list[float] = []
    failures: list[PlatformBusyError] = []

    def refuse(_req: httpx.Request) -> httpx.Response:
        attempted_at.append(timers.now())
        return httpx.Response(429, headers={'Retry-After': '7'})

    async def append() -> None:
        with pytest.raises(PlatformBusyError) as caught:
            await make_log(refuse, timers).append('config', [b'a'])
        failures.append(caught.value)

    async with anyio.create_task_group() as tg:
        tg.start_soon(append)
        await timers.advance(20)
    assert attempted_at == [0, 7, 14]
    assert not failures[0].is_effect_unknown


async def test_timeout_leaves_the_effect_unknown() -> None:
    async def never_answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, never_answer)
        address = f'127.0.0.1:{port}'
        async with open_client(address, timeout_ms=300) as log:
            with pytest.raises(PlatformUnavailableError) as caught:
                await log.append('config', [b'a'])
        tg.cancel_scope.cancel()
    assert caught.value.is_effect_unknown


async def test_refused_connection_means_no_effect() -> None:
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    async with open_client(f'127.0.0.1:{port}', SystemTimers()) as log:
        with pytest.raises(PlatformUnavailableError) as caught:
            await log.append('config', [b'a'])
    assert not caught.value.is_effect_unknown
