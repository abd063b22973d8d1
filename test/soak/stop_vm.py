"""One VM of a run of planned stops, with the daemon of a given source tree."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import attrs

from goldcrestwharf.http1 import connect
from test.soak.fault_proxy import FaultProxy
from test.soak.stop_checks import GRACE_S
from test.soak.stop_records import Span, StopRecords
from test.soak.stop_target import StopTarget
from test.soak.vm import Ports, render_request
from test.system.mesh import poll


@attrs.define(kw_only=True, eq=False)
class StopVm:
    """A daemon process and its target.

    ``source`` is the folder whose code the daemon runs. ``peer_proxy`` is
    between it and the other daemons if the run disrupts links.
    """

    name: str
    zone: str
    service: str
    host: str
    ports: Ports
    folder: Path
    source: Path
    store: str
    records: StopRecords
    target: StopTarget
    peer_proxy: FaultProxy | None = None
    process: 'subprocess.Popen[bytes] | None' = None
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

    async def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        port = self.ports.ready
        try:
            conn = await connect(f'{self.host}:{port}', timeout=0.5)
        except OSError:
            return False
        try:
            answer = await conn.exchange(render_request('GET', '/-/ready'))
        except Exception:
            return False
        finally:
            conn.close()
        return answer.status == 200

    def start(self) -> None:
        """Start the daemon in a new process."""
        self.is_stopping = False
        path = self.folder / f'{self.name}.settings'
        path.write_text(json.dumps(self._make_settings()))
        advertised = self.peer_proxy.address if self.peer_proxy else ''
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'goldcrestwharf.platform'],
                cwd=self.source,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'GOLDCRESTWHARF_BOOT': str(path),
                    'GOLDCRESTWHARF_ADVERTISED_PEERS': advertised,
                },
            )

    def send(self, signum: signal.Signals) -> None:
        if self.process is not None and self.is_running:
            self.process.send_signal(signum)

    async def stop(self) -> None:
        """Stop as planned: SIGTERM, then SIGKILL after the grace period."""
        stop = Span(vm=self.name, began_at=time.monotonic())
        self.records.stops.append(stop)
        self.is_stopping = True
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await poll(self.has_ended)
        except TimeoutError:
            self.records.killed += 1
            self.kill()
        stop.ended_at = time.monotonic()

    def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def close(self) -> None:
        self.kill()
        self.target.close()
        if self.peer_proxy is not None:
            self.peer_proxy.close()

    def _make_settings(self) -> dict[str, object]:
        ports = self.ports
        return {
            'node_name': self.name,
            'ip': self.host,
            'zone': self.zone,
            'listen': {
                'inbound': f'{self.host}:{ports.inbound}',
                'outbound': self.callers,
                'ready': f'{self.host}:{ports.ready}',
                'control': f'{self.host}:{ports.control}',
            },
            'port_range': [ports.peers, ports.peers],
            'heartbeat': '500ms',
            'bounds': {
                'drain_timeout': '2000ms',
                'grace_period': f'{GRACE_S}s',
                'retry_budget_ratio': 0.2,
                'budget_window': '10s',
                'budget_slack': 58,
            },
            'app_addr': self.target.address,
            'service': self.service,
            'platform': {'address': self.store},
        }
