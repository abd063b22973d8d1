"""Send requests over real sockets through two daemons to a target."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import attrs
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

from goldcrestwharf.hops import (
    H11TargetClient,
    HopsSettings,
    register_hops,
)
from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.peers import Handlers, PeerPool, serve_peers
from goldcrestwharf.timers import SystemTimers
from test.helper import LOOPBACK, make_identity, make_peer_context, make_rng
from test.hops.fakes import (
    AsgiApp,
    Daemon,
    FakeView,
    make_daemon,
    make_holder,
    make_member,
    make_objects,
    make_target,
)


async def echo(scope, receive, send) -> None:  # type: ignore[no-untyped-def]
    event = await receive()
    headers = dict(scope['headers'])
    body = b'%b|%b|%b|%b' % (
        scope['method'].encode(),
        b'?'.join((scope['raw_path'], scope['query_string'])),
        headers.get(b'goldcrestwharf-attempt', b'none'),
        event['body'],
    )
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [
                (b'content-length', b'%d' % len(body)),
                (b'x-kept', b'1'),
                (b'goldcrestwharf-outcome', b'not-run'),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def _run_app(app: AsgiApp, port: int, stop: anyio.Event) -> None:
    config = Config()
    config.bind = [f'127.0.0.1:{port}']
    config.errorlog = None
    await serve(app, config, shutdown_trigger=stop.wait)  # type: ignore


async def _free_port() -> int:
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port: int = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    return port


@attrs.frozen(kw_only=True)
class Daemons:
    """The entry daemon and the daemon on the VM of the target."""

    near: Daemon
    far: Daemon


@asynccontextmanager
async def run_daemons(
    objects: ObjectSet | None,
    target_address: str,
    cfg: HopsSettings,
) -> AsyncIterator[Daemons]:
    """Run two daemons with a connection between them."""
    timers = SystemTimers()
    far_handlers = Handlers()
    async with anyio.create_task_group() as tg:
        address = await tg.start(
            serve_peers,
            LOOPBACK,
            make_peer_context(handlers=far_handlers),
        )
        members = [
            make_member('near', '127.0.0.1:1'),
            make_member('far', address, make_target(target_address)),
        ]
        parts = {
            'peers': PeerPool(
                context=make_peer_context(identity=make_identity('near')),
                tg=tg,
                rng=make_rng(),
            ),
            'client': H11TargetClient(timers=timers, cfg=cfg),
            'timers': timers,
            'holder': make_holder(objects),
            'cfg': cfg,
            'tg': tg,
        }
        daemons = Daemons(
            near=make_daemon(view=FakeView(vm='near', known=members), **parts),
            far=make_daemon(view=FakeView(vm='far', known=members), **parts),
        )
        register_hops(far_handlers, daemons.far.target_dispatcher)
        yield daemons
        tg.cancel_scope.cancel()


@asynccontextmanager
async def serve_app(app: AsgiApp, port: int) -> AsyncIterator[None]:
    """Serve ``app`` over HTTP until the block ends."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tg:
        tg.start_soon(_run_app, app, port, stop)
        await _wait_listening(port)
        yield
        stop.set()


@asynccontextmanager
async def run_mesh(
    objects: ObjectSet | None,
    app: AsgiApp = echo,
    cfg: HopsSettings | None = None,
) -> AsyncIterator[httpx.AsyncClient]:
    """Run a target and two daemons; yield an HTTP client for the entry."""
    cfg = cfg or HopsSettings()
    target_port = await _free_port()
    entry_port = await _free_port()
    address = f'127.0.0.1:{target_port}'
    async with (
        serve_app(app, target_port),
        run_daemons(objects, address, cfg) as daemons,
        serve_app(daemons.near.front, entry_port),
        httpx.AsyncClient(base_url=f'http://127.0.0.1:{entry_port}') as caller,
    ):
        yield caller
        await caller.aclose()
        await daemons.far.target_dispatcher.drain()


async def _wait_listening(port: int) -> None:
    while True:
        try:
            stream = await anyio.connect_tcp('127.0.0.1', port)
        except OSError:
            await anyio.sleep(0.01)
        else:
            await stream.aclose()
            return


async def test_request_is_forwarded_through_two_daemons_and_answered() -> None:
    async with run_mesh(make_objects()) as caller:
        answer = await caller.post('/menu/a%20b?x=1', content=b'body')
        again = await caller.get('/menu')
    assert answer.status_code == 200
    assert answer.content == b'POST|/menu/a%20b?x=1|0|body'
    assert again.content == b'GET|/menu?|0|'
    assert answer.headers['x-kept'] == '1'


async def test_outcome_header_of_a_target_is_dropped() -> None:
    async with run_mesh(make_objects()) as caller:
        answer = await caller.get('/menu')
    assert 'goldcrestwharf-outcome' not in answer.headers


async def test_without_configuration_requests_are_refused_as_not_run() -> None:
    async with run_mesh(None) as caller:
        answer = await caller.get('/menu')
    assert answer.status_code == 503
    assert answer.headers['goldcrestwharf-outcome'] == 'not-run'
    assert answer.headers['retry-after'] == '1'
