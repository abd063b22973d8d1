"""Run a mesh of VMs with callers, a store and an operator."""

import contextlib
import json
import random
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.http1 import connect
from test.platform.helper import StubStore, make_configuration
from test.soak.caller import Caller, exchange
from test.soak.factory import ZONES, make_route_rule, make_vms
from test.soak.records import Records, make_records
from test.soak.vm import Vm
from test.system.mesh import poll

_CALLERS_PER_VM = 3


@attrs.define(kw_only=True, eq=False)
class SoakMesh:
    """The VMs, the store and the records of one soak run.

    ``new_vms`` are those of the new version in runs with a roll-out.
    """

    vms: list[Vm]
    new_vms: list[Vm] = attrs.field(factory=list)
    store: StubStore
    records: Records
    rng: random.Random
    version: int = 0
    is_finished: bool = False
    tasks: TaskGroup | None = None
    _payload: bytes = b''
    _version_floors: dict[tuple[str, int], int] = attrs.field(factory=dict)

    def publish(self) -> None:
        """Publish the next version, which adds routes and keeps the earlier."""
        self.version += 1
        rules = [
            make_route_rule(
                version,
                is_repeatable=is_repeatable,
                is_bulk=self.records.workspaces is not None,
            )
            for version in range(1, self.version + 1)
            for is_repeatable in (True, False)
        ]
        document = make_configuration(self.version)
        document['listeners'] = [
            {'host': 'shop.example', 'route_rules': rules[:1]},
            {'host': 'order.example', 'route_rules': rules[1:2]},
            {'host': 'probe.example', 'route_rules': rules[::2]},
        ]
        if self.records.workspaces is not None:
            document |= self.records.workspaces.describe()
        self._payload = json.dumps(document).encode()
        self.publish_again()

    def publish_again(self) -> None:
        """Write the current version to the store, which may have lost it."""
        self.store.put('keyed.op', 'config', self._payload)

    def start_vm(self, vm: Vm) -> None:
        """Start a daemon and the heartbeats of its target."""
        assert self.tasks is not None
        self.tasks.start_soon(vm.target.send_heartbeats)
        vm.start()
        self.tasks.start_soon(vm.supervise, self.records)

    async def send_requests(self, vm: Vm, number: int) -> None:
        """Send requests to one VM over a persistent connection."""
        caller = Caller(records=self.records, vm=vm)
        while not self.is_finished:
            await caller.send_one(
                is_repeatable=bool(number % 2),
                is_large=self.records.is_large(self.rng),
            )
            await anyio.sleep(self.rng.uniform(0.005, 0.03))

    async def probe_versions(self, vm: Vm) -> None:
        """Check that the active version of a VM never decreases."""
        while not self.is_finished:
            key = (vm.name, vm.start_count)
            floor = self._version_floors.get(key, 0)
            asked = min(floor + 1, self.version)
            for version in {floor, asked} - {0}:
                status = await self._probe_version(vm, version)
                if (vm.name, vm.start_count) != key:
                    break
                self._check_version(key, version, status)
            await anyio.sleep(0.1)

    def close(self) -> None:
        self.is_finished = True
        for vm in self.vms + self.new_vms:
            vm.close()
        self.store.close()

    async def wait_until_served(self) -> None:
        """Wait until each VM serves both routes and the newest version."""
        for vm in self.vms:
            caller = Caller(records=self.records, vm=vm)
            await poll(partial(caller.send_one, is_repeatable=True))
            await poll(partial(caller.send_one, is_repeatable=False))
            await poll(partial(self._serves_newest_version, vm))

    def _check_version(
        self, key: tuple[str, int], version: int, status: int
    ) -> None:
        floor = self._version_floors.get(key, 0)
        if status == 404 and version <= floor:
            self.records.violations.append(
                f'{key} went back to before version {floor}'
            )
        elif status == 200:
            self._version_floors[key] = max(floor, version)

    async def _serves_newest_version(self, vm: Vm) -> bool:
        return await self._probe_version(vm, self.version) == 200

    async def _probe_version(self, vm: Vm, version: int) -> int:
        sent = self.records.add_request(version, is_repeatable=True)
        self.records.authorize(sent)
        try:
            conn = await connect(vm.callers, timeout=0.5)
        except OSError:
            return 0
        answer = await exchange(conn, sent, 'probe.example')
        conn.close()
        return answer.status if answer else 0


@contextlib.asynccontextmanager
async def open_mesh(folder: Path, seed: int) -> AsyncIterator[SoakMesh]:
    """Yield a running mesh; stop its tasks and processes on exit."""
    mesh = await make_mesh(folder, seed)
    async with anyio.create_task_group() as group:
        mesh.tasks = group
        with contextlib.closing(mesh):
            await start(mesh, group)
            yield mesh
            group.cancel_scope.cancel()


async def start(mesh: SoakMesh, group: TaskGroup) -> None:
    """Start the daemons, and the callers once every VM serves requests."""
    for vm in mesh.vms:
        mesh.start_vm(vm)
    await mesh.wait_until_served()
    for vm in mesh.vms:
        group.start_soon(mesh.probe_versions, vm)
        for number in range(_CALLERS_PER_VM):
            group.start_soon(mesh.send_requests, vm, number)


async def make_mesh(folder: Path, seed: int) -> SoakMesh:
    """Return a mesh whose daemons are not started yet."""
    store = StubStore()
    await store.listen()
    mesh = SoakMesh(
        vms=[],
        store=store,
        records=make_records(seed),
        rng=random.Random(seed),
    )
    mesh.publish()
    vms = await make_vms(folder, mesh.records, store.address)
    mesh.vms.extend(vms[: len(ZONES)])
    mesh.new_vms.extend(vms[len(ZONES) :])
    return mesh
