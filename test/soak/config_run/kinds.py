"""The disruptions of a run, each registered under its function's name."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine, Iterable
from typing import Final

import anyio
import attrs

from test.soak.config_run.contact import Scope
from test.soak.config_run.fleet import Fleet
from test.soak.config_run.store import SILENT, Failure
from test.soak.fault_proxy import FaultMode
from test.soak.vm import Vm
from test.system.mesh import poll

_RESET = 'reset'
_WAYS = (503, 429, SILENT, _RESET)
_SLOW_FACTOR = 60
_GRACE_S = 6.0


@attrs.frozen(kw_only=True)
class Context:
    """The fleet that a disruption affects, and its random generator."""

    fleet: Fleet
    rng: random.Random

    def choose_vm(self) -> Vm:
        return self.rng.choice(self.fleet.vms)

    def choose_share(self, share: float) -> list[Vm]:
        count = max(round(len(self.fleet.vms) * share), 1)
        return self.rng.sample(self.fleet.vms, count)

    def choose_zone(self) -> list[Vm]:
        zone = self.choose_vm().zone
        return [vm for vm in self.fleet.vms if vm.zone == zone]


Kind = Callable[[Context], Coroutine[None, None, None]]

_kinds: Final[dict[str, Kind]] = {}


def kind(func: Kind) -> Kind:
    """Register a disruption under its function's name."""
    _kinds[func.__name__] = func
    return func


def list_kinds() -> dict[str, Kind]:
    """Return all disruptions."""
    return dict(_kinds)


def list_names(vms: Iterable[Vm]) -> list[str]:
    return [vm.name for vm in vms]


async def _silence(context: Context, vms: list[Vm], name: str) -> None:
    with context.fleet.contact.disrupt(name, Scope.OWN, list_names(vms)):
        for vm in vms:
            vm.store_proxy.silence_open_connections()


@kind
async def silent_zone(context: Context) -> None:
    """Let all store connections of a zone fall silent; new ones work."""
    await _silence(context, context.choose_zone(), 'silent_zone')


@kind
async def silent_daemon(context: Context) -> None:
    await _silence(context, [context.choose_vm()], 'silent_daemon')


@kind
async def silent_all(context: Context) -> None:
    await _silence(context, context.fleet.vms, 'silent_all')


async def _turn_away(context: Context, vms: list[Vm], name: str) -> None:
    fleet, way = context.fleet, context.rng.choice(_WAYS)
    fleet.note('turned_away', way=way, daemons=list_names(vms))
    with fleet.contact.disrupt(name, Scope.PARTIAL, list_names(vms)):
        for vm in vms:
            _reject(fleet, vm, way)
        await asyncio.sleep(context.rng.uniform(3, 9))
        for vm in vms:
            vm.store_proxy.apply_mode(FaultMode.PASS)
            fleet.store.failures.pop(vm.name, None)


def _reject(fleet: Fleet, vm: Vm, way: int | str) -> None:
    if isinstance(way, int):
        fleet.store.failures[vm.name] = Failure(status=way)
    else:
        vm.store_proxy.apply_mode(FaultMode.RESET)


@kind
async def turned_away(context: Context) -> None:
    """Let the store reject a third of the daemons."""
    await _turn_away(context, context.choose_share(0.33), 'turned_away')


@kind
async def turned_away_zone(context: Context) -> None:
    """Let the store reject all daemons of a zone."""
    await _turn_away(context, context.choose_zone(), 'turned_away_zone')


@kind
async def store_slow(context: Context) -> None:
    with context.fleet.contact.disrupt('store_slow', Scope.STORE):
        context.fleet.store.slow_down(_SLOW_FACTOR)
        await asyncio.sleep(context.rng.uniform(2, 4.5))
        context.fleet.store.slow_down(1)


async def _fail_all(context: Context, name: str, failure: Failure) -> None:
    fleet = context.fleet
    with fleet.contact.disrupt(name, Scope.STORE):
        fleet.store.failures.update(
            dict.fromkeys(list_names(fleet.vms), failure)
        )
        await asyncio.sleep(context.rng.uniform(2, 4.5))
        fleet.store.failures.clear()


@kind
async def answers_lost(context: Context) -> None:
    loss = context.rng.choice((0.35, 1))
    await _fail_all(context, 'answers_lost', Failure(loss=loss))


@kind
async def store_down(context: Context) -> None:
    status = context.rng.choice((503, SILENT))
    await _fail_all(context, 'store_down', Failure(status=status))


@kind
async def history_gone(context: Context) -> None:
    with context.fleet.contact.disrupt('history_gone', Scope.STORE):
        context.fleet.store.discard_history('keyed.op')


async def _cut_store(context: Context, vms: list[Vm]) -> None:
    """Cut daemons off from the store; their connections may end silently."""
    mode = context.rng.choice(
        (
            FaultMode.BLOCK,
            FaultMode.BLOCK_UPSTREAM,
            FaultMode.BLOCK_DOWNSTREAM,
        )
    )
    stays_silent = context.rng.random() < 0.5
    for vm in vms:
        vm.store_proxy.apply_mode(mode)
        if stays_silent:
            vm.store_proxy.silence_open_connections()
    await asyncio.sleep(context.rng.uniform(2, 5.5))
    for vm in vms:
        vm.store_proxy.apply_mode(FaultMode.PASS)


@kind
async def store_cut(context: Context) -> None:
    vm = context.choose_vm()
    with context.fleet.contact.disrupt('store_cut', Scope.OWN, [vm.name]):
        await _cut_store(context, [vm])


async def _cut_off(context: Context, vms: list[Vm], name: str) -> None:
    """Cut daemons off from the store and from the others."""
    fleet, inside = context.fleet, set(list_names(vms))

    def is_cut(one: str, other: str) -> bool:
        return (one in inside) != (other in inside)

    with fleet.contact.disrupt(name, Scope.OWN, inside):
        fleet.links.cuts.append(is_cut)
        if context.rng.random() < 0.5:
            fleet.links.silence(is_cut)
        await _cut_store(context, vms)
        fleet.links.cuts.remove(is_cut)


@kind
async def zone_cut(context: Context) -> None:
    await _cut_off(context, context.choose_zone(), 'zone_cut')


@kind
async def node_cut(context: Context) -> None:
    await _cut_off(context, context.choose_share(0.17), 'node_cut')


@kind
async def links_silent(context: Context) -> None:
    """Let the connections of a daemon to all others fall silent."""
    name = context.choose_vm().name
    with context.fleet.contact.disrupt('links_silent', Scope.OWN, [name]):
        context.fleet.links.silence(lambda *ends: name in ends)


@kind
async def roll(context: Context) -> None:
    """Stop and start some daemons, one after the other."""
    async with asyncio.TaskGroup() as group:
        for vm in context.choose_share(0.45):
            group.create_task(_stop(context, vm))
            await asyncio.sleep(context.rng.uniform(1, 1.6))


async def _stop(context: Context, vm: Vm) -> None:
    with context.fleet.contact.disrupt('roll', Scope.OWN, [vm.name]):
        vm.send(signal.SIGTERM)
        with anyio.move_on_after(_GRACE_S):
            await poll(vm.has_ended)
        vm.kill()
        vm.start()


async def _kill(context: Context, vms: list[Vm], name: str) -> None:
    with context.fleet.contact.disrupt(name, Scope.OWN, list_names(vms)):
        for vm in vms:
            vm.kill()
        await asyncio.sleep(context.rng.uniform(0.3, 3))
        for vm in vms:
            if not vm.is_running:
                vm.start()


@kind
async def kill(context: Context) -> None:
    await _kill(context, [context.choose_vm()], 'kill')


@kind
async def kill_several(context: Context) -> None:
    await _kill(context, context.choose_share(0.5), 'kill_several')


@kind
async def kill_after_change(context: Context) -> None:
    context.fleet.publish()
    await _kill(context, [context.choose_vm()], 'kill_after_change')


@kind
async def freeze(context: Context) -> None:
    vm = context.choose_vm()
    with context.fleet.contact.disrupt('freeze', Scope.OWN, [vm.name]):
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(context.rng.uniform(1, 6))
        vm.send(signal.SIGCONT)


@kind
async def targets_fail(context: Context) -> None:
    """Let some targets fail their requests, or work for longer."""
    vms = context.choose_share(0.3)
    with context.fleet.contact.disrupt('targets_fail', Scope.NONE):
        for vm in vms:
            vm.target.is_failing = True
        await asyncio.sleep(context.rng.uniform(2, 6))
        for vm in vms:
            vm.target.is_failing = False


@kind
async def invalid(context: Context) -> None:
    """Write invalid records, each followed by a version.

    Another writer does that: the store accepts valid versions alone.
    """
    fleet = context.fleet
    with fleet.contact.disrupt('invalid', Scope.STORE):
        for document in fleet.operator.list_invalid():
            fleet.write_invalid(document)
            await asyncio.sleep(context.rng.uniform(0.3, 0.9))
            fleet.publish()
