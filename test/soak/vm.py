"""Run one VM: a daemon process, its target, and fault proxies for both."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from http import HTTPStatus
from pathlib import Path

import attrs

from goldcrestwharf.http1 import (
    Answer,
    ExchangeError,
    HttpListener,
    Request,
    connect,
)
from test.soak.fault_proxy import FaultProxy
from test.soak.notices import Notices
from test.soak.records import CRASHING, Records, Run, make_answer_body
from test.soak.rollouts import OLD_VERSION

ROOT = Path(__file__).parent.parent.parent
LOOPBACK = '127.0.0.1'
SERVICE = 'kitchen'
DRAIN_TIMEOUT_S = 2.0
_HEARTBEAT_INTERVAL_S = 0.3
_RESTART_DELAY_S = 0.3
_CRASH_DURATION_S = 0.6
_STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGKILL))


@attrs.define(kw_only=True)
class Ports:
    """The ports of one VM."""

    outbound: int
    inbound: int
    ready: int
    control: int
    peers: int


class Target:
    """A target that records its runs and sends heartbeats to its daemon.

    It answers with status 500 while ``is_failing``.
    """

    def __init__(
        self,
        *,
        name: str,
        records: Records,
        control: str,
        version: str = OLD_VERSION,
        service: str = SERVICE,
    ) -> None:
        self.proxy = FaultProxy()
        self.instance = f'i-{name}'
        self.state = 'ready'
        self.work_s = 0.01
        self.is_failing = False
        self.notices = Notices(name=name, records=records)
        self._records = records
        self._control = control
        self._version = version
        self._service = service
        self._sequence = 0
        self._incarnation = 1
        self._is_down = False
        self._recovery: asyncio.Task[None] | None = None
        self._listener = HttpListener(handler=self._respond)

    async def listen(self) -> None:
        """Start, also after a crash, at a new address behind the proxy."""
        self._listener = HttpListener(handler=self._respond)
        self.proxy.target = await self._listener.listen(f'{LOOPBACK}:0')

    def close(self) -> None:
        self._listener.close()

    def restart(self) -> None:
        """Report a new process of the same target."""
        self._incarnation += 1
        self.state = 'ready'
        self.notices.reset()

    def crash(self) -> None:
        """End at once, and be back as another process soon after."""
        self._is_down = True
        self.close()
        self._recovery = asyncio.create_task(self._recover())

    def stop(self) -> None:
        """End at once and for good."""
        self._is_down = True
        self.close()

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the daemon until cancelled."""
        while True:
            if not self._is_down:
                await self._send_heartbeat()
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _recover(self) -> None:
        await asyncio.sleep(_CRASH_DURATION_S)
        self.restart()
        await self.listen()
        self._is_down = False

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        state, incarnation = self.state, self._incarnation
        document = {
            'born': incarnation,
            'address': self.proxy.address,
            'info': {
                'service': self._service,
                'version': self._version,
                'zone': 'z',
                'slot_count': 8,
            },
            'status': {
                'state': state,
                'sequence': self._sequence,
                'warmup_left': '0ms',
            },
        }
        body = json.dumps(document).encode()
        path = f'/-/instances/{self.instance}/heartbeat'
        is_acknowledged = await self._exchange_heartbeat(
            render_request('POST', path, body=body)
        )
        is_first_drain = state == 'draining' and self.notices.drained_at is None
        if (
            is_acknowledged
            and is_first_drain
            and incarnation == self._incarnation
        ):
            self.notices.drained_at = time.monotonic()

    async def _exchange_heartbeat(self, message: bytes) -> bool:
        """Send a heartbeat and return whether it was acknowledged in time."""
        try:
            conn = await connect(self._control, timeout=0.5)
        except OSError:
            return False
        try:
            async with asyncio.timeout(1):
                response = await conn.exchange(message)
        except (TimeoutError, ExchangeError):
            return False
        conn.close()
        return response.status == HTTPStatus.OK

    async def _respond(self, req: Request) -> Answer:
        request_id = (req.find(b'request-id') or b'').decode()
        if self._is_past_drain():
            self._records.timing_violations.append(
                f'after the drain: {request_id}'
            )
        self.notices.check_run(request_id)
        self._records.runs.append(
            Run(
                request_id=request_id,
                method=req.method.decode(),
                path=req.path,
                body=req.body,
                caller=(req.find(b'caller-service') or b'').decode(),
                workspace=(req.find(b'tenant-id') or b'').decode(),
            ),
        )
        self._check_run(req, request_id)
        if f'/{CRASHING}-' in req.path and not self._is_down:
            self._records.record_crash(req.path, time.monotonic())
            self.crash()
        if self._is_down:
            # A connection that was accepted as the target ended.
            await asyncio.Event().wait()
        await asyncio.sleep(self.work_s)
        rollout = self._records.rollout
        is_failed = rollout is not None and rollout.fails(self._version)
        return Answer(
            status=500 if is_failed or self.is_failing else 200,
            head=b'Request-Id: %b\r\nResponse-Seal: p\r\n%b'
            % (request_id.encode(), self.notices.render(request_id)),
            body=make_answer_body(request_id, req.path),
        )

    def _check_run(self, req: Request, request_id: str) -> None:
        records = self._records
        sent = records.sent.get(request_id)
        if sent is None:
            return
        if records.workspaces is not None:
            records.workspaces.check_run(req, sent.key)
        if records.rollout is not None:
            records.rollout.record_run(self._version, request_id, sent.sent_at)

    def _is_past_drain(self) -> bool:
        if self.notices.drained_at is None:
            return False
        return time.monotonic() - self.notices.drained_at > DRAIN_TIMEOUT_S


def render_request(
    method: str,
    path: str,
    *,
    host: str = 'shop.example',
    body: bytes = b'',
    head: tuple[str, ...] = (),
) -> bytes:
    """Return an HTTP request as bytes."""
    length = len(body)
    target = f'{method} {path}'
    lines = (
        f'{target} HTTP/1.1',
        f'Host: {host}',
        *head,
        f'Content-Length: {length}',
        '\r\n',
    )
    return '\r\n'.join(lines).encode() + body


@attrs.define(kw_only=True, eq=False)
class Vm:
    """A daemon process, its target and the fault proxies in front of both.

    The daemon's code is that in the folder ``source``. It is told that its
    link has ``link_mbps``, if set; the link isn't limited.
    """

    name: str
    zone: str
    host: str
    ports: Ports
    folder: Path
    target: Target
    store_proxy: FaultProxy
    peer_proxy: FaultProxy
    service: str = SERVICE
    source: Path = ROOT
    link_mbps: float | None = None
    process: 'subprocess.Popen[bytes] | None' = None
    start_count: int = 0
    is_stopping: bool = False

    @property
    def callers(self) -> str:
        port = self.ports.outbound
        return f'{self.host}:{port}'

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    async def has_ended(self) -> bool:
        return not self.is_running

    async def accepts_callers(self) -> bool:
        try:
            conn = await connect(self.callers, timeout=0.5)
        except OSError:
            return False
        conn.close()
        return True

    async def supervise(self, records: Records) -> None:
        """Restart a process that exited by itself, as the platform does."""
        while True:
            await asyncio.sleep(_RESTART_DELAY_S)
            if not (self.is_running or self.is_stopping):
                records.violations.append(f'{self.name} exited by itself')
                self.start()

    def start(self) -> None:
        """Start the daemon in a new process."""
        self.start_count += 1
        self.is_stopping = False
        path = self.folder / f'{self.name}.settings'
        path.write_text(json.dumps(self._make_settings()))
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'goldcrestwharf.platform'],
                cwd=self.source,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'GOLDCRESTWHARF_BOOT': str(path),
                    'GOLDCRESTWHARF_ADVERTISED_PEERS': self.peer_proxy.address,
                },
            )

    def send(self, signum: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.is_stopping |= signum in _STOP_SIGNALS
            self.process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process, also when it is paused."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def close(self) -> None:
        self.kill()
        for part in (
            self.target,
            self.store_proxy,
            self.peer_proxy,
            self.target.proxy,
        ):
            part.close()

    def _make_settings(self) -> dict[str, object]:
        ports = self.ports
        limits = {} if self.link_mbps is None else {'link_mbps': self.link_mbps}
        return {
            'node_name': self.name,
            'limits': limits,
            'ip': self.host,
            'zone': self.zone,
            'listen': {
                'inbound': f'{self.host}:{ports.inbound}',
                'outbound': self.callers,
                'ready': f'{self.host}:{ports.ready}',
                'control': f'{self.host}:{ports.control}',
            },
            'port_range': [ports.peers, ports.peers],
            'heartbeat': '300ms',
            'bounds': {
                'drain_timeout': '2000ms',
                'grace_period': '6s',
                'retry_budget_ratio': 0.2,
                'budget_window': '10s',
                'budget_slack': 60,
            },
            'app_addr': self.target.proxy.address,
            'service': self.service,
            'platform': {'address': self.store_proxy.address},
        }
