"""Run a small mesh of processes for the system tests and benches."""

import json
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from pathlib import Path

import anyio
import attrs
import httpx

from test.helper import find_ports

ROOT = Path(__file__).parent.parent.parent
TOKEN = 'a token for tests that nobody has to keep secret'
_KEY = 'a cluster key for tests that is no secret at all'
_POLL_INTERVAL_S = 0.05

#: Limit for a test that hangs; no result depends on it.
HANG_TIMEOUT_S = 60


async def poll(is_ready: Callable[[], Awaitable[bool]]) -> None:
    """Wait until ``is_ready`` returns true."""
    while True:
        if await is_ready():
            return
        await anyio.sleep(_POLL_INTERVAL_S)


@attrs.define(kw_only=True)
class Process:
    """A Python program in a subprocess that appends its output to a log."""

    name: str
    command: list[str]
    log: Path
    running: 'subprocess.Popen[bytes] | None' = None

    def start(self) -> None:
        with self.log.open('ab') as log:
            self.running = subprocess.Popen(
                [sys.executable, *self.command],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def send(self, signum: signal.Signals) -> None:
        assert self.running is not None
        self.running.send_signal(signum)

    async def wait(self) -> int:
        """Wait until the process has ended and return its exit code."""
        assert self.running is not None
        running = self.running

        async def has_ended() -> bool:
            return running.poll() is not None

        await poll(has_ended)
        return running.returncode

    def kill(self) -> None:
        if self.running is not None and self.running.poll() is None:
            self.running.send_signal(signal.SIGCONT)
            self.running.kill()
            self.running.wait()


@attrs.define(kw_only=True)
class Vm:
    """A VM with its daemon and its target."""

    name: str
    zone: str
    ports: list[int]
    daemon: Process
    target: Process

    @property
    def peer_address(self) -> str:
        return f'127.0.0.1:{self.ports[0]}'

    @property
    def caller_address(self) -> str:
        return f'127.0.0.1:{self.ports[1]}'

    @property
    def local_address(self) -> str:
        return f'127.0.0.1:{self.ports[2]}'


class Mesh:
    """A platform log and one VM for each entry of ``zones``."""

    def __init__(
        self,
        folder: Path,
        zones: Sequence[str],
        *,
        work_ms: int = 20,
        drain_timeout_ms: int = 30_000,
    ) -> None:
        self.folder = folder
        self.ledger = folder / 'ledger'
        self.client = httpx.AsyncClient(timeout=HANG_TIMEOUT_S, trust_env=False)
        self._drain_timeout_ms = drain_timeout_ms
        self.platform_port = find_ports(1)[0]
        self.platform = self._make_platform()
        self.vms = self._make_vms(zones, work_ms)

    @property
    def platform_url(self) -> str:
        return f'http://127.0.0.1:{self.platform_port}'

    async def __aenter__(self) -> 'Mesh':
        self.platform.start()
        await poll(self._is_platform_ready)
        for vm in self.vms:
            vm.daemon.start()
        for vm in self.vms:
            vm.target.start()
        await self.wait_for_targets(len(self.vms))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.client.aclose()
        for vm in self.vms:
            vm.target.kill()
            vm.daemon.kill()
        self.platform.kill()

    def count_runs(self) -> Counter[str]:
        """Return how often each request ran on all targets, by its number."""
        if not self.ledger.exists():
            return Counter()
        return Counter(self.ledger.read_text().split())

    async def wait_for_runs(self, count: int) -> None:
        """Wait until ``count`` requests have begun to run."""

        async def have_run() -> bool:
            return self.count_runs().total() >= count

        await poll(have_run)

    async def call_admin_api(
        self,
        vm: Vm,
        path: str,
        body: dict[str, object] | None = None,
    ) -> dict[str, object]:
        """Return the response of a daemon's administration API."""
        answer = await self.client.request(
            'GET' if body is None else 'POST',
            f'http://{vm.local_address}{path}',
            json=body,
            headers={'Authorization': f'Bearer {TOKEN}'},
        )
        document: dict[str, object] = answer.json()
        return document

    async def publish(self, vm: Vm, objects: str) -> dict[str, object]:
        return await self.call_admin_api(vm, '/v1/publish', {'text': objects})

    async def version(self, vm: Vm) -> str:
        status = await self.call_admin_api(vm, '/v1/status')
        return str(status['daemon']['version'])

    async def wait_for_version(self, version: str, vms: list[Vm]) -> None:
        for vm in vms:
            await poll(partial(self._has_version, vm, version))

    async def wait_for_targets(self, count: int) -> None:
        for vm in self.vms:
            await poll(partial(self._knows_targets, vm, count))

    async def wait_for_dead(self, vm: Vm, zone: str) -> None:
        """Wait until ``vm`` regards a daemon of ``zone`` as dead."""

        async def knows_dead() -> bool:
            status = await self.call_admin_api(vm, '/v1/status')
            return any(
                each['dead'] for each in status['zones'] if each['zone'] == zone
            )

        await poll(knows_dead)

    async def _is_platform_ready(self) -> bool:
        url = f'{self.platform_url}/v1/streams/config/records'
        try:
            answer = await self.client.get(url)
        except httpx.HTTPError:
            return False
        return answer.is_success

    async def _has_version(self, vm: Vm, version: str) -> bool:
        try:
            return await self.version(vm) == version
        except httpx.HTTPError:
            return False

    async def _knows_targets(self, vm: Vm, count: int) -> bool:
        try:
            status = await self.call_admin_api(vm, '/v1/status')
        except httpx.HTTPError:
            return False
        return sum(zone['targets'] for zone in status['zones']) >= count

    def _make_platform(self) -> Process:
        listen = f'127.0.0.1:{self.platform_port}'
        return Process(
            name='platform',
            command=['-m', 'goldcrestwharf', 'platform', '--listen', listen],
            log=self.folder / 'platform.log',
        )

    def _make_vms(self, zones: Sequence[str], work_ms: int) -> list[Vm]:
        ports = find_ports(4 * len(zones))
        seeds = [f'127.0.0.1:{port}' for port in ports[::4]]
        return [
            self._make_vm(
                f'vm-{number}',
                zone,
                ports[4 * number : 4 * number + 4],
                seeds,
                work_ms,
            )
            for number, zone in enumerate(zones)
        ]

    def _make_vm(
        self,
        name: str,
        zone: str,
        ports: list[int],
        seeds: list[str],
        work_ms: int,
    ) -> Vm:
        peer_address, caller_address, local_address = (
            f'127.0.0.1:{port}' for port in ports[:3]
        )
        settings = {
            'vm': name,
            'zone': zone,
            'cluster': 'test',
            'cluster_key': _KEY,
            'admin_token': TOKEN,
            'peer_address': peer_address,
            'caller_address': caller_address,
            'local_address': local_address,
            'platform_url': self.platform_url,
            'seeds': [seed for seed in seeds if seed != peer_address],
            'drain_timeout_ms': self._drain_timeout_ms,
        }
        path = self.folder / f'{name}.jsonc'
        path.write_text(json.dumps(settings))
        target = [
            'examples/lunch_target.py',
            *('--name', f'target-{name}', '--group', 'pool'),
            *('--port', str(ports[3]), '--daemon', f'http://{local_address}'),
            *('--work-ms', str(work_ms), '--ledger', str(self.ledger)),
        ]
        daemon = ['-m', 'goldcrestwharf', 'daemon', '--settings', str(path)]
        return Vm(
            name=name,
            zone=zone,
            ports=ports,
            daemon=Process(
                name=name,
                command=daemon,
                log=self.folder / f'{name}.log',
            ),
            target=Process(
                name=f'target-{name}',
                command=target,
                log=self.folder / f'target-{name}.log',
            ),
        )


def make_object_set(*, timeout_ms: int = 5000, **route: object) -> str:
    """Return an object set with one group, one service and one route."""
    return json.dumps(
        {
            'target_groups': {'pool': {'slots': 12}},
            'services': {
                'lunch': {'target_group': 'pool', 'timeout_ms': timeout_ms},
            },
            'routes': {
                'lunch-web': {
                    'service': 'lunch',
                    'path_prefix': '/lunch',
                    **route,
                },
            },
        },
    )


@attrs.define(kw_only=True)
class RequestRecord:
    """One request and its response; status 0 means no response."""

    number: str
    status: int = 0
    outcome: str = ''
    echoed: str = ''


@attrs.define(kw_only=True, eq=False)
class LoadGenerator:
    """Send numbered requests to ``address`` until stopped."""

    mesh: Mesh
    address: str
    method: str = 'POST'
    headers: dict[str, str] = attrs.field(factory=dict)
    concurrency: int = 8
    records: list[RequestRecord] = attrs.field(factory=list)
    is_stopping: bool = False

    async def run(self) -> None:
        async with anyio.create_task_group() as tg:
            for worker in range(self.concurrency):
                tg.start_soon(self._work, worker)

    async def wait_for_records(self, count: int) -> None:
        """Wait until ``count`` more requests have ended."""
        goal = len(self.records) + count

        async def is_reached() -> bool:
            return len(self.records) >= goal

        await poll(is_reached)

    async def _work(self, worker: int) -> None:
        number = 0
        while not self.is_stopping:
            name = f'n-{worker}-{number}'
            self.records.append(await self._send(name))
            number += 1

    async def _send(self, name: str) -> RequestRecord:
        try:
            answer = await self.mesh.client.request(
                self.method,
                f'http://{self.address}/lunch',
                headers={'request-number': name, **self.headers},
            )
        except httpx.TransportError as exc:
            await anyio.sleep(_POLL_INTERVAL_S)
            return RequestRecord(number=name, outcome=f'transport {exc}')
        return RequestRecord(
            number=name,
            status=answer.status_code,
            outcome=answer.headers.get('goldcrestwharf-outcome', ''),
            echoed='' if answer.is_error else answer.json()['number'],
        )
