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


def fail(kind: type[Exception]) -> Answer:
    def factory(_req: httpx.Request) -> httpx.Response:
        raise kind('cut')

    return factory


def answer(status: int, body: object = None) -> Answer:
    return lambda _req: httpx.Response(status, json=body)


def make_log(answer_request: Answer, timers: ManualTimers) -> HttpLog:
    client = httpx.AsyncClient(
        base_url='http://platform.example',
        transport=httpx.MockTransport(answer_request),
    )
    cfg = PlatformSettings(max_tries=3)
    return HttpLog(client=client, timers=timers, rng=make_rng(), cfg=cfg)


@pytest.mark.parametrize(
    ('answer_request', 'is_effect_unknown'),
    [
        (fail(httpx.ConnectError), False),
        (fail(httpx.ConnectTimeout), False),
        (fail(httpx.ReadTimeout), True),
        (fail(httpx.WriteError), True),
        (fail(httpx.ReadError), True),
        (fail(httpx.RemoteProtocolError), True),
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
async def test_an_effect_is_ruled_out_only_on_proof(
    answer_request: Answer,
    is_effect_unknown: bool,
) -> None:
    log = make_log(answer_request, ManualTimers())
    with pytest.raises(PlatformUnavailableError) as caught:
        await log.append('config', [b'a'])
    assert caught.value.is_effect_unknown is is_effect_unknown


async def test_a_refused_request_names_the_reason() -> None:
    failure = {'error': 'too large', 'is_effect_unknown': False}
    log = make_log(answer(413, failure), ManualTimers())
    with pytest.raises(PlatformRequestError, match='too large'):
        await log.append('config', [b'a'])


async def test_retry_after_is_waited_for_and_tries_are_bounded() -> None:
    timers = ManualTimers()
    tried_at: list[float] = []
    failures: list[PlatformBusyError] = []

    def refuse(_req: httpx.Request) -> httpx.Response:
        tried_at.append(timers.now())
        return httpx.Response(429, headers={'Retry-After': '7'})

    async def append() -> None:
        with pytest.raises(PlatformBusyError) as caught:
            await make_log(refuse, timers).append('config', [b'a'])
        failures.append(caught.value)

    async with anyio.create_task_group() as tg:
        tg.start_soon(append)
        await timers.advance(20)
    assert tried_at == [0, 7, 14]
    assert not failures[0].is_effect_unknown


async def test_a_silent_log_is_given_up_as_unknown() -> None:
    async def never_answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, never_answer)
        async with open_client(f'127.0.0.1:{port}') as log:
            with pytest.raises(PlatformUnavailableError) as caught:
                await log.append('config', [b'a'])
        tg.cancel_scope.cancel()
    assert caught.value.is_effect_unknown


async def test_nobody_listening_means_no_effect() -> None:
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    async with open_client(f'127.0.0.1:{port}', SystemTimers()) as log:
        with pytest.raises(PlatformUnavailableError) as caught:
            await log.append('config', [b'a'])
    assert not caught.value.is_effect_unknown
