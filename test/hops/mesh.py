"""Run three daemons in memory, with faults at each step of a request."""

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.hops import (
    HopRequest,
    HopsSettings,
    TargetAnswer,
    TargetRequest,
)
from goldcrestwharf.limits import Claims, LimitSettings
from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.timers import ManualTimers
from goldcrestwharf.wire import decode, encode
from test.helper import make_rng
from test.hops.fakes import (
    Daemon,
    FakeView,
    make_daemon,
    make_holder,
    make_member,
    make_objects,
    make_target,
)
from test.hops.faults import Faults, make_not_sent_error, make_unknown_error
from test.limits.fakelog import FakeLog

DEADLINE = 2
BODY = b'whole answer to '


RunRequest = Callable[[TargetRequest], Awaitable[TargetAnswer]]


@attrs.define(kw_only=True)
class CountingTarget:
    """A client that runs the requests to all targets and counts the runs."""

    faults: Faults
    runs: Counter[bytes] = attrs.field(factory=Counter)
    seen: list[TargetRequest] = attrs.field(factory=list)
    cancelled: int = 0
    is_up: bool = True
    blocked: anyio.Event | None = None
    override: RunRequest | None = None

    async def send(self, address: str, req: TargetRequest) -> TargetAnswer:
        if self.override is not None:
            return await self.override(req)

        async def run() -> TargetAnswer:
            return await self.faults.inject('answer', answer)

        async def answer() -> TargetAnswer:
            self.seen.append(req)
            self.runs[req.path] += 1
            if self.blocked is not None:
                await self._wait()
            return TargetAnswer(
                status=200,
                headers=((b'x-path', req.path),),
                body=BODY + req.path,
            )

        return await self.faults.inject('dispatch', run)

    async def is_alive(self, address: str) -> bool:
        return self.is_up

    async def close(self) -> None:
        self.is_up = False

    async def _wait(self) -> None:
        assert self.blocked is not None
        self.cancelled += 1
        await self.blocked.wait()
        self.cancelled -= 1


@attrs.define(kw_only=True)
class FakePeers:
    """Peers that encode, decode and deliver messages in memory."""

    faults: Faults
    timers: ManualTimers
    daemons: dict[str, Daemon] = attrs.field(factory=dict)
    calls: list[HopRequest] = attrs.field(factory=list)

    async def call(self, address: str, body: Any, *, timeout: float) -> Any:
        async def deliver() -> Any:
            self.calls.append(body)
            req = decode(encode(body))
            target_dispatcher = self.daemons[address].target_dispatcher
            return decode(encode(await target_dispatcher.answer(req)))

        with self.timers.limit(timeout):
            return await self.faults.inject('forward', deliver)
        raise make_unknown_error()

    async def send(self, address: str, body: object) -> None:
        raise make_not_sent_error()


@attrs.frozen(kw_only=True)
class Reply:
    """The answer to a caller; ``at`` is the time of its arrival."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    at: float

    @property
    def outcome(self) -> str:
        return self.headers.get(b'goldcrestwharf-outcome', b'').decode()

    @property
    def reason(self) -> str:
        return self.headers.get(b'goldcrestwharf-reason', b'').decode()


@attrs.define(kw_only=True)
class Mesh:
    """An entry daemon and two daemons with one target each."""

    entry: Daemon
    others: list[Daemon]
    target: CountingTarget
    faults: Faults
    peers: FakePeers
    timers: ManualTimers
    log: FakeLog
    view: FakeView
    tg: TaskGroup

    async def send_request(
        self,
        path: str = '/menu/1',
        *,
        method: str = 'GET',
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b'',
        disconnect: anyio.Event | None = None,
    ) -> Reply | None:
        """Send a request to the entry daemon; ``None`` without an answer."""
        caller = Caller(body=body, disconnect=disconnect or anyio.Event())
        raw_path, _, query = path.partition('?')
        scope = {
            'type': 'http',
            'method': method,
            'path': raw_path,
            'raw_path': raw_path.encode(),
            'query_string': query.encode(),
            'headers': [(b'host', b'menu.example'), *headers],
            'client': ('127.0.0.9', 1),
        }
        await self.entry.front(scope, caller.receive, caller.send)
        return caller.reply(self.timers.now())

    async def send_until_answered(self, **request: Any) -> Reply:
        """Send a request and advance the time beyond its deadline."""
        replies: list[Reply | None] = []

        async def send_request() -> None:
            replies.append(await self.send_request(**request))

        async with anyio.create_task_group() as tg:
            tg.start_soon(send_request)
            await self.timers.advance(0)
            await self.timers.advance(DEADLINE + 2)
        assert replies[0] is not None
        return replies[0]


@attrs.define(kw_only=True)
class Caller:
    """The ASGI server side of one request."""

    body: bytes
    disconnect: anyio.Event
    is_sent: bool = False
    events: list[Any] = attrs.field(factory=list)

    async def receive(self) -> dict[str, Any]:
        if not self.is_sent:
            self.is_sent = True
            return {'type': 'http.request', 'body': self.body}
        await self.disconnect.wait()
        return {'type': 'http.disconnect'}

    async def send(self, event: Any) -> None:
        self.events.append(event)

    def reply(self, now: float) -> Reply | None:
        if not self.events:
            return None
        start, body = self.events
        return Reply(
            status=start['status'],
            headers=dict(start['headers']),
            body=body['body'],
            at=now,
        )


@asynccontextmanager
async def open_mesh(
    objects: ObjectSet | None = None,
    *,
    cfg: HopsSettings | None = None,
    slots: int = 12,
) -> AsyncIterator[Mesh]:
    """Run the daemons ``entry``, ``vm-0`` and ``vm-1``."""
    timers = ManualTimers()
    faults = Faults()
    log = FakeLog()
    target = CountingTarget(faults=faults)
    peers = FakePeers(faults=faults, timers=timers)
    holder = make_holder(objects or make_objects(timeout_ms=DEADLINE * 1000))
    known = [make_member('entry', 'entry:1')]
    for number in range(2):
        one = make_target(f'target:{number}', name=f't{number}', slots=slots)
        known.append(make_member(f'vm-{number}', f'vm:{number}', one))
    claims = Claims(
        log=log,
        cfg=LimitSettings(),
        timers=timers,
        rng=make_rng(),
    )
    async with anyio.create_task_group() as tg:

        def make_mesh_daemon(vm: str) -> Daemon:
            return make_daemon(
                view=FakeView(vm=vm, known=known),
                peers=peers,
                client=target,
                timers=timers,
                holder=holder,
                tg=tg,
                claims=claims,
                cfg=cfg,
            )

        others = [make_mesh_daemon('vm-0'), make_mesh_daemon('vm-1')]
        peers.daemons = {'vm:0': others[0], 'vm:1': others[1]}
        tg.start_soon(claims.run)
        await anyio.wait_all_tasks_blocked()
        yield Mesh(
            entry=make_mesh_daemon('entry'),
            others=others,
            target=target,
            faults=faults,
            peers=peers,
            timers=timers,
            log=log,
            view=FakeView(vm='entry', known=known),
            tg=tg,
        )
        tg.cancel_scope.cancel()
