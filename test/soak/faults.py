"""Inject faults at random times, in series that overlap."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Final

import anyio
import attrs
import typer

from test.soak.gate import Gate, Mode
from test.soak.machine import Machine
from test.soak.world import World
from test.system.mesh import poll


@attrs.frozen(kw_only=True)
class Strike:
    """Hold where a fault strikes and what it draws from."""

    world: World
    machine: Machine
    rng: random.Random

    def elsewhere(self, machine: Machine) -> 'Strike':
        """Return the same for another machine, with draws of its own."""
        return attrs.evolve(
            self,
            machine=machine,
            rng=random.Random(self.rng.random()),
        )


Fault = Callable[[Strike], Coroutine[None, None, None]]

_faults: Final[dict[str, Fault]] = {}

#: Seconds from a stop's signal to the kill, as in the settings.
_GRACE_S = 6.0


def fault(func: Fault) -> Fault:
    """Register a fault by its name."""
    _faults[func.__name__] = func
    return func


async def inject(world: World, seed: int, *, count: int, span: float) -> None:
    """Let ``count`` faults begin within ``span`` seconds, and end them."""
    rng = random.Random(seed)
    names = sorted(_faults)
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            await asyncio.sleep(rng.uniform(0, 2 * span / count))
            chosen = _faults[rng.choice(names)]
            machine = rng.choice(world.machines)
            strike = Strike(
                world=world,
                machine=machine,
                rng=random.Random(rng.random()),
            )
            typer.echo(f'{chosen.__name__} on {machine.name}')
            group.create_task(chosen(strike))


async def _harm(gate: Gate, rng: random.Random) -> None:
    modes = [mode for mode in Mode if mode is not Mode.PASS]
    gate.treat(rng.choice(modes))
    await asyncio.sleep(rng.uniform(0.2, 2.5))
    gate.treat(Mode.PASS)


@fault
async def harm_store(strike: Strike) -> None:
    await _harm(strike.machine.store, strike.rng)


@fault
async def harm_peers(strike: Strike) -> None:
    await _harm(strike.machine.peers, strike.rng)


@fault
async def harm_target(strike: Strike) -> None:
    await _harm(strike.machine.upstream, strike.rng)


@fault
async def harm_whole_store(strike: Strike) -> None:
    async with asyncio.TaskGroup() as group:
        for one in strike.world.machines:
            group.create_task(harm_store(strike.elsewhere(one)))


@fault
async def silence_open(strike: Strike) -> None:
    for gate in (
        strike.machine.peers,
        strike.machine.store,
        strike.machine.upstream,
    ):
        gate.silence_open()


@fault
async def kill(strike: Strike) -> None:
    strike.machine.end()
    await asyncio.sleep(strike.rng.uniform(0.05, 1.5))
    if not strike.machine.is_running:
        strike.machine.start()


@fault
async def kill_herd(strike: Strike) -> None:
    async with asyncio.TaskGroup() as group:
        for one in strike.rng.sample(strike.world.machines, 3):
            group.create_task(kill(strike.elsewhere(one)))


@fault
async def stop(strike: Strike) -> None:
    strike.machine.send(signal.SIGTERM)
    with anyio.move_on_after(_GRACE_S):
        await poll(strike.machine.has_ended)
    strike.machine.end()
    strike.machine.start()


@fault
async def pause(strike: Strike) -> None:
    strike.machine.send(signal.SIGSTOP)
    await asyncio.sleep(strike.rng.uniform(0.2, 3))
    strike.machine.send(signal.SIGCONT)


@fault
async def reload_settings(strike: Strike) -> None:
    # The interpreter itself is ended by the signal until it has started.
    if await strike.machine.accepts_callers():
        strike.machine.send(signal.SIGHUP)


@fault
async def slow_target(strike: Strike) -> None:
    strike.machine.target.work_s = strike.rng.uniform(0.1, 1)
    await asyncio.sleep(strike.rng.uniform(0.5, 3))
    strike.machine.target.work_s = 0.01


@fault
async def drain_target(strike: Strike) -> None:
    strike.machine.target.state = 'draining'
    await asyncio.sleep(strike.rng.uniform(1, 4))
    strike.machine.target.restart()


@fault
async def publish(strike: Strike) -> None:
    for _ in range(strike.rng.randint(1, 6)):
        strike.world.publish()
        await asyncio.sleep(strike.rng.uniform(0, 0.3))


@fault
async def forget_history(strike: Strike) -> None:
    strike.world.store.discard_history('keyed.op')
    strike.world.publish()
