"""Daemons of the request path on loopback, for tests."""

import asyncio
import math
import random
from collections.abc import (
    AsyncIterator,
    Callable,
    Coroutine,
    Iterable,
    Sequence,
)
from contextlib import asynccontextmanager, suppress
from typing import Any

import attrs

from goldcrestwharf.discovery import (
    DaemonRecord,
    Heartbeat,
    InstanceState,
    ReportedRecord,
)
from goldcrestwharf.http1 import Answer, HttpListener, Request, connect
from goldcrestwharf.http1 import Response as HttpResponse
from goldcrestwharf.placement import RetryBudgetTerms
from goldcrestwharf.policy import PolicyHolder, PolicySnapshot
from goldcrestwharf.proxy import ProxyDaemon, ProxySettings, make_daemon
from goldcrestwharf.proxy._link import PeerLink
from test.helper import SEED, find_ports
from test.policy.helper import make_snapshot

#: Timeout of a test, in seconds.
TEST_TIMEOUT_S = 20

HOST = '127.0.0.1'


def free_address() -> str:
    """Return an unused address."""
    port = find_ports(1)[0]
    return f'{HOST}:{port}'


@attrs.define(kw_only=True)
class Crash:
    """Crashes of a target; ``is_cause`` tells which requests cause one."""

    is_cause: Callable[[Request], bool] = lambda _: False
    starts: int = 0
    is_down: bool = True


class StubTarget:
    """Target that records requests and answers as the test says."""

    def __init__(self) -> None:
        self.address = ''
        self.runs: list[Request] = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.answer: Callable[[Request], Answer] = self.succeed
        self.cancelled = 0
        self.crash = Crash()

    async def listen(self) -> None:
        """Start, or start again at the same address after a crash."""
        self._listener = HttpListener(handler=self._respond)
        self.address = await self._listener.listen(self.address or f'{HOST}:0')
        self.crash.starts += 1
        self.crash.is_down = False

    def close(self) -> None:
        self._listener.close()

    def succeed(self, req: Request) -> Answer:
        request_id = req.find(b'request-id') or b''
        return Answer(
            status=200,
            head=b'Request-Id: %b\r\nAnswer-Proof: p\r\n' % request_id,
            body=b'done %b' % req.body,
        )

    async def _respond(self, req: Request) -> Answer:
        self.runs.append(req)
        if self.crash.is_cause(req):
            self.crash.is_down = True
            self.close()
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.answer(req)


class Vm:
    """Daemon with its target."""

    def __init__(
        self,
        *,
        name: str,
        target: StubTarget,
        zone: str,
        service: str,
        link_rate: float = math.inf,
    ) -> None:
        self.target = target
        self.holder = PolicyHolder()
        self.callers = free_address()
        self.offered: list[bytes] = []
        self._cfg = ProxySettings(
            name=name,
            zone=zone,
            callers=self.callers,
            peers=free_address(),
            target=target.address,
            service=service,
            heartbeat_period=60,
            drain_timeout=2,
            grace_period=6,
            budget=RetryBudgetTerms(ratio=0.2, slack=100, window=10),
            link_rate=link_rate,
        )
        self.daemon = self._make_daemon()
        self._instance_id = f'i-{name}'
        self._sequence = 0

    async def restart(self) -> None:
        """Replace the daemon by one that knows nothing; the target runs on."""
        self.daemon.close()
        self.daemon = self._make_daemon()
        await self.daemon.start()

    def send_heartbeat(
        self,
        state: InstanceState = InstanceState.READY,
        slots: int = 10,
        version: str = '',
    ) -> None:
        core = self.daemon.core
        self._sequence += 1
        core.instance_tracker.record_heartbeat(
            Heartbeat(
                instance_id=self._instance_id,
                started_ms=self.target.crash.starts,
                sequence=self._sequence,
                service=core.cfg.service,
                address=self.target.address,
                slots=slots,
                state=state,
                version=version,
            ),
            core.clock(),
        )
        self.daemon.handle_target_change()

    def add_peer(self, other: 'Vm') -> None:
        core = self.daemon.core
        cfg = other.daemon.core.cfg
        record = DaemonRecord(
            name=cfg.name,
            address=cfg.peers,
            zone=cfg.zone,
        )
        core.directory.record_report(
            ReportedRecord(record=record), core.clock()
        )
        self.daemon.handle_directory_change()

    def _make_daemon(self) -> ProxyDaemon:
        name = self._cfg.name
        seed = f'{SEED} {name}'
        return make_daemon(
            cfg=self._cfg,
            rng=random.Random(seed),
            holder=self.holder,
            offer=lambda encoded, _: self.offered.append(encoded),
        )


@asynccontextmanager
async def open_vms(
    count: int,
    snapshot: PolicySnapshot | None = None,
    prefix: str = 'vm',
    zones: Sequence[str] = ('zone-a', 'zone-b'),
    services: Sequence[str] = ('kitchen',),
    link_rate: float = math.inf,
) -> AsyncIterator[list[Vm]]:
    """Yield linked daemons, each with a target.

    The first one is in the first of ``zones``, the others are in the last.
    The services are those of ``services`` in turn. ``link_rate`` is in bytes
    per second; the daemons keep to it, but nothing enforces it.
    """
    vms = []
    for number in range(count):
        target = StubTarget()
        await target.listen()
        zone = zones[-1] if number else zones[0]
        vm = Vm(
            name=f'{prefix}-{number}',
            target=target,
            zone=zone,
            service=services[number % len(services)],
            link_rate=link_rate,
        )
        vm.holder.offer(snapshot or make_snapshot(1))
        vms.append(vm)
    for vm in vms:
        await vm.daemon.start()
        if vm is not vms[0]:
            vm.add_peer(vms[0])
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield vms
    finally:
        for vm in vms:
            vm.daemon.close()
            vm.target.close()


@asynccontextmanager
async def open_vm(
    snapshot: PolicySnapshot | None = None,
    prefix: str = 'vm',
) -> AsyncIterator[Vm]:
    """Yield one daemon with a target."""
    async with open_vms(1, snapshot, prefix) as vms:
        yield vms[0]


ServeConn = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
]


class ConnServer:
    """Server whose connections are served by a coroutine function."""

    def __init__(self, *, serve: ServeConn) -> None:
        self._serve = serve
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        with suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await task
        writer.close()

    async def end(self) -> None:
        """End all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0.01)


@asynccontextmanager
async def replace_target(vm: Vm, serve: ServeConn) -> AsyncIterator[None]:
    """Serve the connections to a VM's target by ``serve``."""
    conns = ConnServer(serve=serve)
    vm.target.close()
    host, _, port = vm.target.address.rpartition(':')
    server = await asyncio.start_server(conns.run, host, int(port))
    vm.send_heartbeat()
    try:
        yield
    finally:
        server.close()
        await conns.end()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the timeout of the test ends the wait."""
    is_met = condition()
    while not is_met:
        await asyncio.sleep(0.005)
        is_met = condition()


def render(
    *,
    method: str = 'GET',
    path: str = '/menu/today',
    request_id: str = 'r-1',
    deadline_ms: int = 400,
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a caller's request."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
        f'Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
        f'Caller-Service: forged\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def send_request(vm: Vm, message: bytes) -> HttpResponse:
    """Send a request to a daemon as a caller."""
    conn = await connect(vm.callers, timeout=5)
    try:
        return await conn.exchange(message)
    finally:
        conn.close()


def find_link(vm: Vm, name: str) -> PeerLink | None:
    fleet = vm.daemon._fleet
    return fleet.links.get(name)


async def restart_crashed(vms: Iterable[Vm]) -> None:
    """Start the crashed targets again."""
    for vm in vms:
        if vm.target.crash.is_down:
            await vm.target.listen()
            vm.send_heartbeat()


def is_linked(vm: Vm, name: str) -> bool:
    link = find_link(vm, name)
    return bool(link and link.is_up and link.target.candidate)


def sees_draining(vm: Vm, name: str) -> bool:
    link = find_link(vm, name)
    candidate = link.target.candidate if link else None
    return bool(candidate and candidate.is_draining)


async def link_to_remote(vms: list[Vm]) -> tuple[Vm, Vm]:
    """Return a VM without a target, linked to another with one."""
    entry, remote = vms
    remote.send_heartbeat()
    await wait_until(lambda: is_linked(entry, 'vm-1'))
    return entry, remote
