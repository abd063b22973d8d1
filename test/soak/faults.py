"""Inject faults that begin at random times and may overlap."""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Final

import anyio
import attrs

from test.soak.caller import Caller
from test.soak.fault_proxy import FaultMode, FaultProxy
from test.soak.mesh import SoakMesh
from test.soak.records import CRASHING
from test.soak.vm import Vm
from test.system.mesh import poll


@attrs.frozen(kw_only=True)
class FaultContext:
    """The VM that a fault affects and the random generator that it uses."""

    mesh: SoakMesh
    vm: Vm
    rng: random.Random

    def for_vm(self, vm: Vm) -> 'FaultContext':
        """Return a context for another VM, with its own random generator."""
        return attrs.evolve(
            self,
            vm=vm,
            rng=random.Random(self.rng.random()),
        )


Fault = Callable[[FaultContext], Coroutine[None, None, None]]

_faults: Final[dict[str, Fault]] = {}

#: Faults that only seeds from ``FIRST_SEED_OF_LATER_FAULTS`` on inject, so
#: that the lower ones still inject what they once failed with.
_later_faults: Final[dict[str, Fault]] = {}
FIRST_SEED_OF_LATER_FAULTS = 10_000

#: Faults of the seeds from ``FIRST_SEED_OF_CRASHES`` on: those under which a
#: request that crashes targets has to be stopped.
_crash_faults: Final[dict[str, Fault]] = {}
FIRST_SEED_OF_CRASHES = 20_000

#: Seconds from SIGTERM to SIGKILL, equal to the setting ``grace_period``.
_STOP_TIMEOUT_S = 6.0


def fault(func: Fault) -> Fault:
    """Register a fault under its function's name.

    A seed chooses from the sorted names: a new name, or one that sorts
    elsewhere, changes which faults each seed injects.
    """
    _faults[func.__name__] = func
    return func


def later_fault(func: Fault) -> Fault:
    """Register a fault for the seeds from a bound on; see :func:`fault`."""
    _later_faults[func.__name__] = func
    return func


def crash_fault(func: Fault) -> Fault:
    """Register a fault for the seeds with crashing requests as well."""
    _crash_faults[func.__name__] = func
    return func


def find_faults(seed: int) -> dict[str, Fault]:
    """Return the faults that a seed without workspaces chooses from."""
    if seed >= FIRST_SEED_OF_CRASHES:
        return _crash_faults
    if seed >= FIRST_SEED_OF_LATER_FAULTS:
        return {**_faults, **_later_faults}
    return _faults


async def _impair(proxy: FaultProxy, rng: random.Random) -> None:
    modes = [mode for mode in FaultMode if mode is not FaultMode.PASS]
    proxy.apply_mode(rng.choice(modes))
    await asyncio.sleep(rng.uniform(0.2, 2.5))
    proxy.apply_mode(FaultMode.PASS)


@fault
async def impair_store(context: FaultContext) -> None:
    await _impair(context.vm.store_proxy, context.rng)


@fault
async def impair_peers(context: FaultContext) -> None:
    await _impair(context.vm.peer_proxy, context.rng)


@fault
async def impair_target(context: FaultContext) -> None:
    await _impair(context.vm.target.proxy, context.rng)


@fault
async def impair_whole_store(context: FaultContext) -> None:
    async with asyncio.TaskGroup() as group:
        for one in context.mesh.vms:
            group.create_task(impair_store(context.for_vm(one)))


@fault
async def silence_open_connections(context: FaultContext) -> None:
    for proxy in (
        context.vm.peer_proxy,
        context.vm.store_proxy,
        context.vm.target.proxy,
    ):
        proxy.silence_open_connections()


@fault
@crash_fault
async def kill(context: FaultContext) -> None:
    context.vm.kill()
    await asyncio.sleep(context.rng.uniform(0.05, 1.5))
    if not context.vm.is_running:
        context.vm.start()


@fault
async def kill_several(context: FaultContext) -> None:
    async with asyncio.TaskGroup() as group:
        for one in context.rng.sample(context.mesh.vms, 3):
            group.create_task(kill(context.for_vm(one)))


@fault
@crash_fault
async def stop(context: FaultContext) -> None:
    context.vm.send(signal.SIGTERM)
    with anyio.move_on_after(_STOP_TIMEOUT_S):
        await poll(context.vm.has_ended)
    context.vm.kill()
    context.vm.start()


@fault
@crash_fault
async def pause(context: FaultContext) -> None:
    context.vm.send(signal.SIGSTOP)
    await asyncio.sleep(context.rng.uniform(0.2, 3))
    context.vm.send(signal.SIGCONT)


@fault
@crash_fault
async def reload_settings(context: FaultContext) -> None:
    # SIGHUP ends the process until the daemon has installed its handler.
    if await context.vm.accepts_callers():
        context.vm.send(signal.SIGHUP)


@fault
@crash_fault
async def slow_target(context: FaultContext) -> None:
    context.vm.target.work_s = context.rng.uniform(0.1, 1)
    await asyncio.sleep(context.rng.uniform(0.5, 3))
    context.vm.target.work_s = 0.01


@fault
async def drain_target(context: FaultContext) -> None:
    context.vm.target.state = 'draining'
    await asyncio.sleep(context.rng.uniform(1, 4))
    context.vm.target.restart()


@fault
@crash_fault
async def publish(context: FaultContext) -> None:
    for _ in range(context.rng.randint(1, 6)):
        context.mesh.publish()
        await asyncio.sleep(context.rng.uniform(0, 0.3))


@fault
async def expire_history(context: FaultContext) -> None:
    context.mesh.store.discard_history('keyed.op')
    context.mesh.publish()


@later_fault
async def restore_store(context: FaultContext) -> None:
    """Let the store come back from a copy; its operator writes again."""
    mesh, rng = context.mesh, context.rng
    swallows = rng.random() < 0.5
    for topic in ('keyed.op', 'keyed.daemons'):
        mesh.store.restore(topic, rng.randint(0, 4), swallows=swallows)
    await asyncio.sleep(rng.uniform(0, 0.8))
    mesh.publish_again()
    await asyncio.sleep(rng.uniform(0, 0.8))
    mesh.publish()


@later_fault
async def limit_target(context: FaultContext) -> None:
    target = context.vm.target
    target.notices.limit = context.rng.uniform(2, 40)
    await asyncio.sleep(context.rng.uniform(2, 9))
    target.notices.limit = 0


@later_fault
async def leave_in_answers(context: FaultContext) -> None:
    """Say in answers alone that the target leaves, then start it again."""
    target = context.vm.target
    target.notices.leave(lambda: context.vm.start_count)
    await asyncio.sleep(context.rng.uniform(1, 5))
    target.restart()


@crash_fault
async def crash_targets(context: FaultContext) -> None:
    """Send a request that crashes its targets, again and again anywhere."""
    mesh, rng = context.mesh, context.rng
    name = f'{CRASHING}-{rng.random()}'
    stop_at = time.monotonic() + rng.uniform(5, 10)
    while time.monotonic() < stop_at:
        caller = Caller(records=mesh.records, vm=rng.choice(mesh.vms))
        await caller.send_one(is_repeatable=True, name=name)
        caller.close()
        await asyncio.sleep(rng.uniform(0.02, 0.2))


@crash_fault
async def crash_targets_together(context: FaultContext) -> None:
    async with asyncio.TaskGroup() as group:
        for _ in range(2):
            group.create_task(crash_targets(context.for_vm(context.vm)))
