"""What happens beside the planned stops of a run, by the name of a variant."""

import asyncio
import enum
import random
import signal
import time
from collections.abc import Iterator
from types import MappingProxyType

from test.soak.fault_proxy import FaultMode
from test.soak.stop_checks import EARLY_S
from test.soak.stop_mesh import StopMesh
from test.soak.stop_records import Span
from test.soak.stop_vm import StopVm
from test.system.mesh import poll

#: Bounds of the time between two stops, in seconds.
_MIN_INTERVAL_S = 1.5
_MAX_INTERVAL_S = 8.0

#: Mean of the time above the lower bound; long ones are rare.
_MEAN_EXTRA_S = 1.5

#: Time for which a daemon is held, and by which targets slow down.
_HOLD_S = 0.35
_EXTRA_WORK_S = 3.0


class Variant(enum.StrEnum):
    """What accompanies the stops."""

    ROLL = 'roll'
    PAIRS = 'pairs'
    SIGNALS = 'signals'
    STARTUP = 'startup'
    CONFIGS = 'configs'
    CUTS = 'cuts'
    SILENT = 'silent'
    KILLS = 'kills'
    LEAVING = 'leaving'
    STALLS = 'stalls'
    SLOWDOWNS = 'slowdowns'


#: Variants in which the links between daemons are disrupted.
LINK_VARIANTS = frozenset((Variant.CUTS, Variant.SILENT))


async def roll(mesh: StopMesh, variant: Variant, stops: int) -> None:
    """Stop the daemons in a random order, ``stops`` of them in all."""
    rng = mesh.rng
    size = 2 if variant is Variant.PAIRS else 1
    action = _ACTIONS.get(variant, _do_nothing)
    async with asyncio.TaskGroup() as group:
        for batch in _make_batches(rng, mesh.vms, stops, size):
            await asyncio.sleep(_draw_interval(rng))
            for vm in batch:
                if not vm.is_stopping and vm.is_running:
                    group.create_task(_restart(mesh, vm, variant))
                    group.create_task(action(mesh, vm))


def _make_batches(
    rng: random.Random, vms: list[StopVm], stops: int, size: int
) -> Iterator[list[StopVm]]:
    order: list[StopVm] = []
    while len(order) < stops:
        order.extend(rng.sample(vms, len(vms)))
    for start in range(0, stops, size):
        yield order[start : min(start + size, stops)]


def _draw_interval(rng: random.Random) -> float:
    extra = rng.expovariate(1 / _MEAN_EXTRA_S)
    return min(_MIN_INTERVAL_S + extra, _MAX_INTERVAL_S)


async def _restart(mesh: StopMesh, vm: StopVm, variant: Variant) -> None:
    await mesh.restart(vm)
    if variant is Variant.STARTUP:
        # Another SIGTERM reaches the daemon while it starts.
        await vm.stop()
        vm.start()
        await asyncio.sleep(mesh.rng.uniform(0, 0.6))
        await vm.stop()
        vm.start()
        await poll(vm.is_ready)


async def _do_nothing(mesh: StopMesh, vm: StopVm) -> None:
    """Leave the stop alone."""


async def _repeat_signals(mesh: StopMesh, vm: StopVm) -> None:
    for _ in range(3):
        await asyncio.sleep(mesh.rng.uniform(0.05, 1.5))
        if vm.is_stopping:
            vm.send(mesh.rng.choice((signal.SIGTERM, signal.SIGHUP)))
    mesh.rng.choice(mesh.vms).send(signal.SIGHUP)


async def _publish(mesh: StopMesh, vm: StopVm) -> None:
    for _ in range(3):
        mesh.publish()
        await asyncio.sleep(mesh.rng.uniform(0.2, 1))


async def _cut_links(mesh: StopMesh, vm: StopVm) -> None:
    """Reset the links to one or two daemons for a moment."""
    for cut in mesh.rng.sample(mesh.vms, 2):
        proxy = cut.peer_proxy
        assert proxy is not None
        span = Span(vm=cut.name, began_at=time.monotonic(), kind='cut')
        mesh.records.disruptions.append(span)
        proxy.apply_mode(FaultMode.RESET)
        await asyncio.sleep(mesh.rng.uniform(0.1, 1))
        proxy.apply_mode(FaultMode.PASS)
        span.ended_at = time.monotonic()


async def _silence_links(mesh: StopMesh, vm: StopVm) -> None:
    """Let the open links to one or two daemons fall silent for good."""
    for silenced in mesh.rng.sample(mesh.vms, 2):
        proxy = silenced.peer_proxy
        assert proxy is not None
        now = time.monotonic()
        mesh.records.disruptions.append(
            Span(vm=silenced.name, began_at=now, ended_at=now, kind='silence')
        )
        proxy.silence_open_connections()
        await asyncio.sleep(mesh.rng.uniform(0.1, 1))


async def _kill_another(mesh: StopMesh, vm: StopVm) -> None:
    await asyncio.sleep(mesh.rng.uniform(0, 3))
    others = [
        other
        for other in mesh.vms
        if other is not vm and other.is_running and not other.is_stopping
    ]
    killed = mesh.rng.choice(others)
    span = Span(vm=killed.name, began_at=time.monotonic(), kind='kill')
    mesh.records.disruptions.append(span)
    killed.kill()
    await asyncio.sleep(0.3)
    killed.start()
    await poll(killed.is_ready)
    span.ended_at = time.monotonic()


async def _drain_targets(mesh: StopMesh, vm: StopVm) -> None:
    """Let the target of the stopped daemon and another one leave at work."""
    others = [other for other in mesh.vms if other is not vm]
    async with asyncio.TaskGroup() as group:
        for leaving in (vm, mesh.rng.choice(others)):
            group.create_task(leaving.target.leave_for(mesh.rng.uniform(2, 4)))


async def _stall(mesh: StopMesh, vm: StopVm) -> None:
    """Withhold the processor at the begin of a stop and near its end.

    The times suit a grace period that callers use up.
    """
    for wait in (mesh.rng.uniform(0, 0.05), mesh.rng.uniform(4.6, 5.2)):
        await asyncio.sleep(wait)
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(mesh.rng.uniform(0.2, 0.6))
        vm.send(signal.SIGCONT)


async def _slow_down(mesh: StopMesh, vm: StopVm) -> None:
    """Hold a daemon at its SIGTERM, and let targets slow down during its stop.

    Too short to be logged as a pause. The requests that are sent later than
    ``EARLY_S`` after SIGTERM have to be answered.
    """
    vm.send(signal.SIGSTOP)
    await asyncio.sleep(_HOLD_S)
    vm.send(signal.SIGCONT)
    await asyncio.sleep(EARLY_S - _HOLD_S)
    mesh.records.extra_work_s = _EXTRA_WORK_S
    await asyncio.sleep(_HOLD_S)
    mesh.records.extra_work_s = 0


_ACTIONS = MappingProxyType(
    {
        Variant.SIGNALS: _repeat_signals,
        Variant.CONFIGS: _publish,
        Variant.CUTS: _cut_links,
        Variant.SILENT: _silence_links,
        Variant.KILLS: _kill_another,
        Variant.LEAVING: _drain_targets,
        Variant.STALLS: _stall,
        Variant.SLOWDOWNS: _slow_down,
    }
)
