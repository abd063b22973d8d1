"""Run a mesh of machines with callers, a store and an operator."""

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
from test.soak.building import make_machines, make_rule
from test.soak.caller import Caller, exchange
from test.soak.machine import Machine
from test.soak.records import Records
from test.system.mesh import poll

_CALLERS_EACH = 3


@attrs.define(kw_only=True, eq=False)
class World:
    """Hold all that one play of the soak runs."""

    machines: list[Machine]
    store: StubStore
    records: Records
    rng: random.Random
    version: int = 0
    is_over: bool = False
    _floors: dict[tuple[str, int], int] = attrs.field(factory=dict)

    def publish(self) -> None:
        """Write one version more; each adds a route that stays."""
        self.version += 1
        rules = [
            make_rule(version, is_repeatable=is_repeatable)
            for version in range(1, self.version + 1)
            for is_repeatable in (True, False)
        ]
        document = make_configuration(self.version)
        document['listeners'] = [
            {'host': 'shop.example', 'route_rules': rules[:1]},
            {'host': 'order.example', 'route_rules': rules[1:2]},
            {'host': 'probe.example', 'route_rules': rules[::2]},
        ]
        payload = json.dumps(document).encode()
        self.store.put('keyed.op', 'config', payload)

    async def call(self, machine: Machine, number: int) -> None:
        """Send requests to one machine over a kept connection."""
        caller = Caller(records=self.records, machine=machine)
        while not self.is_over:
            await caller.send_one(is_repeatable=bool(number % 2))
            await anyio.sleep(self.rng.uniform(0.005, 0.03))

    async def probe(self, machine: Machine) -> None:
        """Ask which versions are in force; they never go back."""
        while not self.is_over:
            key = (machine.name, machine.starts)
            floor = self._floors.get(key, 0)
            asked = min(floor + 1, self.version)
            for version in {floor, asked} - {0}:
                status = await self._probe_once(machine, version)
                if (machine.name, machine.starts) != key:
                    break
                self._judge(key, version, status)
            await anyio.sleep(0.1)

    def close(self) -> None:
        self.is_over = True
        for machine in self.machines:
            machine.close()
        self.store.close()

    async def wait_until_served(self) -> None:
        """Wait until each machine serves both kinds by the newest version."""
        for machine in self.machines:
            caller = Caller(records=self.records, machine=machine)
            await poll(partial(caller.send_one, is_repeatable=True))
            await poll(partial(caller.send_one, is_repeatable=False))
            await poll(partial(self._is_current, machine))

    def _judge(self, key: tuple[str, int], version: int, status: int) -> None:
        floor = self._floors.get(key, 0)
        if status == 404 and version <= floor:
            self.records.broken.append(f'{key} fell behind version {floor}')
        elif status == 200:
            self._floors[key] = max(floor, version)

    async def _is_current(self, machine: Machine) -> bool:
        return await self._probe_once(machine, self.version) == 200

    async def _probe_once(self, machine: Machine, version: int) -> int:
        seen = self.records.ask(version, is_repeatable=True)
        try:
            conn = await connect(machine.callers, timeout=0.5)
        except OSError:
            return 0
        answer = await exchange(conn, seen, 'probe.example')
        conn.close()
        return answer.status if answer else 0


@contextlib.asynccontextmanager
async def open_world(folder: Path, seed: int) -> AsyncIterator[World]:
    """Yield a mesh that serves callers."""
    world = await make_world(folder, seed)
    async with anyio.create_task_group() as group:
        with contextlib.closing(world):
            await start(world, group)
            yield world
            group.cancel_scope.cancel()


async def start(world: World, group: TaskGroup) -> None:
    """Start the daemons, and callers once all are served."""
    for machine in world.machines:
        group.start_soon(machine.target.beat)
        machine.start()
        group.start_soon(machine.supervise, world.records)
    await world.wait_until_served()
    for machine in world.machines:
        group.start_soon(world.probe, machine)
        for number in range(_CALLERS_EACH):
            group.start_soon(world.call, machine, number)


async def make_world(folder: Path, seed: int) -> World:
    """Return a mesh whose daemons are yet to be started."""
    store = StubStore()
    await store.listen()
    world = World(
        machines=[],
        store=store,
        records=Records(),
        rng=random.Random(seed),
    )
    world.publish()
    world.machines.extend(
        await make_machines(folder, world.records, store.address),
    )
    return world
