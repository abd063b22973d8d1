"""A mesh of thirteen VMs for runs of planned stops."""

import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import attrs

from test.helper import find_ports
from test.platform.helper import StubStore, make_configuration
from test.soak.stop_factory import (
    SERVICES,
    ZONES,
    make_caller,
    make_limits,
    make_listeners,
    make_vm,
)
from test.soak.stop_records import StopRecords
from test.soak.stop_traffic import Traffic
from test.soak.stop_vm import StopVm
from test.soak.vm import Ports
from test.system.mesh import poll

#: Time in which all daemons know the targets, in seconds.
_SETTLING_S = 1.5


@attrs.define(kw_only=True, eq=False)
class StopMesh:
    """The VMs, the store and the callers of one run."""

    vms: list[StopVm]
    store: StubStore
    records: StopRecords
    rng: random.Random
    version: int = 0
    _tasks: list['asyncio.Task[None]'] = attrs.field(factory=list)

    def publish(self) -> None:
        """Publish the next version, which adds a route to the others."""
        self.version += 1
        document = make_configuration(self.version)
        document['listeners'] = make_listeners(self.version)
        document['limits'] = make_limits()
        document['clusters'] = [{'name': service} for service in SERVICES]
        self.store.put('keyed.op', 'config', json.dumps(document).encode())

    async def start(
        self, callers_per_vm: int, traffic: Traffic = Traffic.SINGLE
    ) -> None:
        """Start all daemons, and the callers once these are ready."""
        loop = asyncio.get_running_loop()
        for vm in self.vms:
            vm.start()
            self._tasks.append(loop.create_task(vm.target.send_heartbeats()))
        for started in self.vms:
            await poll(started.is_ready)
        await asyncio.sleep(_SETTLING_S)
        for served in self.vms:
            for number in range(callers_per_vm):
                caller = make_caller(
                    served,
                    traffic,
                    rng=random.Random(self.rng.random()),
                    heeds_readiness=bool(number % 2),
                )
                self._tasks.append(loop.create_task(caller.run()))

    async def restart(self, vm: StopVm) -> None:
        """Stop a daemon as planned and start it again."""
        await vm.stop()
        vm.start()
        await poll(vm.is_ready)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.close()
        self.store.close()


@contextlib.asynccontextmanager
async def open_stop_mesh(
    folder: Path,
    seed: int,
    *,
    source: Path,
    has_proxies: bool = False,
    zones: tuple[str, ...] = ZONES,
) -> AsyncIterator[StopMesh]:
    """Yield a mesh whose daemons are not started yet."""
    store = StubStore()
    await store.listen()
    mesh = StopMesh(
        vms=[],
        store=store,
        records=StopRecords(),
        rng=random.Random(seed),
    )
    mesh.publish()
    names = attrs.fields_dict(Ports)
    ports = Ports(**dict(zip(names, find_ports(len(names)), strict=True)))
    make = partial(
        make_vm,
        records=mesh.records,
        store=store.address,
        ports=ports,
        folder=folder,
        source=source,
        has_proxy=has_proxies,
    )
    with contextlib.closing(mesh):
        for number, zone in enumerate(zones):
            mesh.vms.append(await make(number, zone))
        yield mesh
