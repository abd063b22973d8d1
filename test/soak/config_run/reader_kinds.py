"""Disruptions of the daemons that read the store for their zone.

These are the ones on high-bandwidth links. The others of the zone stay in
touch. The kinds are played by name alone, so that seeds of all the others keep
their meaning.
"""

import asyncio
import signal
from typing import Final

import anyio

from test.soak.config_run.contact import Scope
from test.soak.config_run.kinds import Context, Kind, list_names
from test.soak.fault_proxy import FaultMode
from test.soak.vm import Vm
from test.system.mesh import poll

_GRACE_S = 6.0
_STOP_INTERVAL_S = 0.8

_kinds: Final[dict[str, Kind]] = {}


def reader_kind(func: Kind) -> Kind:
    """Register a disruption under its function's name."""
    _kinds[func.__name__] = func
    return func


def list_reader_kinds() -> dict[str, Kind]:
    """Return all disruptions of readers."""
    return dict(_kinds)


def _choose_readers(context: Context) -> list[Vm]:
    return [vm for vm in context.choose_zone() if vm.link_mbps is None]


@reader_kind
async def readers_cut(context: Context) -> None:
    """Cut the readers of a zone off from the store, silently."""
    vms = _choose_readers(context)
    with context.fleet.contact.disrupt(
        'readers_cut', Scope.OWN, list_names(vms)
    ):
        for vm in vms:
            vm.store_proxy.apply_mode(FaultMode.BLOCK)
        await asyncio.sleep(context.rng.uniform(4, 9))
        for vm in vms:
            vm.store_proxy.apply_mode(FaultMode.PASS)


@reader_kind
async def readers_frozen(context: Context) -> None:
    """Let the readers of a zone stand still, as if they had lost power."""
    vms = _choose_readers(context)
    with context.fleet.contact.disrupt(
        'readers_frozen', Scope.OWN, list_names(vms)
    ):
        for vm in vms:
            vm.send(signal.SIGSTOP)
        await asyncio.sleep(context.rng.uniform(4, 9))
        for vm in vms:
            vm.send(signal.SIGCONT)


@reader_kind
async def readers_stopped(context: Context) -> None:
    """Stop and start the readers of a zone, one after the other."""
    async with asyncio.TaskGroup() as group:
        for vm in _choose_readers(context):
            group.create_task(_stop(context, vm))
            await asyncio.sleep(_STOP_INTERVAL_S)


async def _stop(context: Context, vm: Vm) -> None:
    with context.fleet.contact.disrupt('readers_stopped', Scope.OWN, [vm.name]):
        vm.send(signal.SIGTERM)
        with anyio.move_on_after(_GRACE_S):
            await poll(vm.has_ended)
        vm.kill()
        vm.start()
