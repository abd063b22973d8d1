"""Faults of the runs with workspaces."""

import asyncio
import time
from typing import Final

from test.soak.caller import Caller
from test.soak.faults import Fault, FaultContext
from test.soak.workspaces import LIMITED, UNLIMITED

_faults: Final[dict[str, Fault]] = {}


def workspace_fault(func: Fault) -> Fault:
    """Register a fault under its function's name."""
    _faults[func.__name__] = func
    return func


def list_workspace_faults() -> dict[str, Fault]:
    """Return all faults of this module."""
    return dict(_faults)


@workspace_fault
async def withdraw_key(context: FaultContext) -> None:
    """Replace a key; some callers go on using the former one for a while."""
    mesh, rng = context.mesh, context.rng
    workspaces = mesh.records.workspaces
    assert workspaces is not None
    former = workspaces.keys[UNLIMITED]
    workspaces.rotate(UNLIMITED)
    mesh.publish()
    stop_at = time.monotonic() + rng.uniform(1, 10)
    while time.monotonic() < stop_at:
        sent = mesh.records.add_request(1, is_repeatable=True)
        sent.workspace = UNLIMITED
        sent.key = former
        caller = Caller(records=mesh.records, vm=rng.choice(mesh.vms))
        await caller.send(sent)
        caller.close()
        await asyncio.sleep(rng.uniform(0.05, 0.2))


@workspace_fault
async def exceed_limit(context: FaultContext) -> None:
    """Send far more than its limit from one workspace, through all VMs."""
    async with asyncio.TaskGroup() as group:
        for vm in context.mesh.vms:
            group.create_task(_press(context.for_vm(vm)))


async def _press(context: FaultContext) -> None:
    caller = Caller(records=context.mesh.records, vm=context.vm)
    stop_at = time.monotonic() + context.rng.uniform(2, 8)
    while time.monotonic() < stop_at:
        await caller.send_one(is_repeatable=True, workspace=LIMITED)
        await asyncio.sleep(context.rng.uniform(0, 0.02))
    caller.close()
