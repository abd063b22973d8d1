"""Run a small mesh of real processes for the tests of a whole system."""

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
_POLL_S = 0.05

#: A test that waits this long has hung; nothing is judged by it.
HANG_S = 60


async def poll(is_there: Callable[[], Awaitable[bool]]) -> None:
    """Wait until ``is_there`` says so."""
    while True:
        if await is_there():
            return
        await anyio.sleep(_POLL_S)


@attrs.define(kw_only=True)
class Process:
    """Run one program and keep its log."""

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
        """Return the exit code once the process has ended."""
        assert self.running is not None
        running = self.running

        async def has_ended() -> bool:
            return running.poll() is not None

        await poll(has_ended)
        return running.returncode

    def end(self) -> None:
        if self.running is not None and self.running.poll() is None:
            self.running.send_signal(signal.SIGCONT)
            self.running.kill()
            self.running.wait()


@attrs.define(kw_only=True)
class Vm:
    """Hold a VM's daemon and its target."""

    name: str
    zone: str
    ports: list[int]
    daemon: Process
    target: Process

    @property
    def peer(self) -> str:
        return f'127.0.0.1:{self.ports[0]}'

    @property
    def caller(self) -> str:
        return f'127.0.0.1:{self.ports[1]}'

    @property
    def local(self) -> str:
        return f'127.0.0.1:{self.ports[2]}'


class Mesh:
    """Run a platform log and a VM for each zone that is named."""

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
        self.client = httpx.AsyncClient(timeout=HANG_S, trust_env=False)
        self._drain_timeout_ms = drain_timeout_ms
        self.platform_port = find_ports(1)[0]
        self.platform = self._make_platform()
        self.vms = self._make_vms(zones, work_ms)

    @property
    def platform_url(self) -> str:
        return f'http://127.0.0.1:{self.platform_port}'

    async def __aenter__(self) -> 'Mesh':
        self.platform.start()
        await poll(self._platform_answers)
        for vm in self.vms:
            vm.daemon.start()
        for vm in self.vms:
            vm.target.start()
        await self.wait_for_targets(len(self.vms))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.client.aclose()
        for vm in self.vms:
            vm.target.end()
            vm.daemon.end()
        self.platform.end()

    def runs(self) -> Counter[str]:
        """Return how often each numbered request ran on any target."""
        if not self.ledger.exists():
            return Counter()
        return Counter(self.ledger.read_text().split())

    async def wait_for_runs(self, count: int) -> None:
        """Wait until ``count`` requests have begun to run."""

        async def have_run() -> bool:
            return self.runs().total() >= count

        await poll(have_run)

    async def ask(
        self,
        vm: Vm,
        path: str,
        body: dict[str, object] | None = None,
    ) -> dict[str, object]:
        """Return what a daemon's administration API answers."""
        answer = await self.client.request(
            'GET' if body is None else 'POST',
            f'http://{vm.local}{path}',
            json=body,
            headers={'Authorization': f'Bearer {TOKEN}'},
        )
        answered: dict[str, object] = answer.json()
        return answered

    async def publish(self, vm: Vm, objects: str) -> dict[str, object]:
        return await self.ask(vm, '/v1/publish', {'text': objects})

    async def version(self, vm: Vm) -> str:
        status = await self.ask(vm, '/v1/status')
        return str(status['daemon']['version'])

    async def wait_for_version(self, version: str, vms: list[Vm]) -> None:
        for vm in vms:
            await poll(partial(self._runs_version, vm, version))

    async def wait_for_targets(self, count: int) -> None:
        for vm in self.vms:
            await poll(partial(self._knows_targets, vm, count))

    async def wait_for_dead(self, vm: Vm, zone: str) -> None:
        """Wait until ``vm`` knows of a daemon of ``zone`` that has ended."""

        async def knows_dead() -> bool:
            status = await self.ask(vm, '/v1/status')
            return any(
                each['dead'] for each in status['zones'] if each['zone'] == zone
            )

        await poll(knows_dead)

    async def _platform_answers(self) -> bool:
        url = f'{self.platform_url}/v1/streams/config/records'
        try:
            answer = await self.client.get(url)
        except httpx.HTTPError:
            return False
        return answer.is_success

    async def _runs_version(self, vm: Vm, version: str) -> bool:
        try:
            return await self.version(vm) == version
        except httpx.HTTPError:
            return False

    async def _knows_targets(self, vm: Vm, count: int) -> bool:
        try:
            status = await self.ask(vm, '/v1/status')
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
        peer, caller, local = (f'127.0.0.1:{port}' for port in ports[:3])
        settings = {
            'vm': name,
            'zone': zone,
            'cluster': 'test',
            'cluster_key': _KEY,
            'admin_token': TOKEN,
            'peer_address': peer,
            'caller_address': caller,
            'local_address': local,
            'platform_url': self.platform_url,
            'seeds': [seed for seed in seeds if seed != peer],
            'drain_timeout_ms': self._drain_timeout_ms,
        }
        path = self.folder / f'{name}.jsonc'
        path.write_text(json.dumps(settings))
        target = [
            'examples/lunch_target.py',
            *('--name', f'target-{name}', '--group', 'pool'),
            *('--port', str(ports[3]), '--daemon', f'http://{local}'),
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


def make_set(*, timeout_ms: int = 5000, **route: object) -> str:
    """Return a set file with one group, one service and its routes."""
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
class Answered:
    """Hold what became of one numbered request."""

    number: str
    status: int = 0
    outcome: str = ''
    echoed: str = ''


@attrs.define(kw_only=True, eq=False)
class Load:
    """Send numbered requests to one daemon until stopped."""

    mesh: Mesh
    entry: str
    method: str = 'POST'
    headers: dict[str, str] = attrs.field(factory=dict)
    at_once: int = 8
    answers: list[Answered] = attrs.field(factory=list)
    stopping: bool = False
    answered: anyio.Event = attrs.field(factory=anyio.Event)

    async def run(self) -> None:
        async with anyio.create_task_group() as tg:
            for worker in range(self.at_once):
                tg.start_soon(self._work, worker)

    async def wait_for(self, count: int) -> None:
        """Wait until ``count`` more requests have been answered."""
        goal = len(self.answers) + count

        async def is_reached() -> bool:
            return len(self.answers) >= goal

        await poll(is_reached)

    async def _work(self, worker: int) -> None:
        number = 0
        while not self.stopping:
            name = f'n-{worker}-{number}'
            self.answers.append(await self._send(name))
            number += 1

    async def _send(self, name: str) -> Answered:
        try:
            answer = await self.mesh.client.request(
                self.method,
                f'http://{self.entry}/lunch',
                headers={'request-number': name, **self.headers},
            )
        except httpx.TransportError as exc:
            await anyio.sleep(_POLL_S)
            return Answered(number=name, outcome=f'transport {exc}')
        return Answered(
            number=name,
            status=answer.status_code,
            outcome=answer.headers.get('goldcrestwharf-outcome', ''),
            echoed='' if answer.is_error else answer.json()['number'],
        )
