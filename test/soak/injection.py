"""Choose the faults of a seed and inject them."""

import asyncio
import random

import typer

from test.soak.faults import (
    FIRST_SEED_OF_LATER_FAULTS,
    Fault,
    FaultContext,
    find_faults,
)
from test.soak.mesh import SoakMesh
from test.soak.vm import Vm
from test.soak.workspace_faults import list_workspace_faults
from test.soak.workspaces import FIRST_SEED as FIRST_SEED_OF_WORKSPACES


def find_all_faults(seed: int) -> dict[str, Fault]:
    """Return the faults that a seed chooses from."""
    if seed >= FIRST_SEED_OF_WORKSPACES:
        earlier = find_faults(FIRST_SEED_OF_LATER_FAULTS)
        return {**earlier, **list_workspace_faults()}
    return find_faults(seed)


def choose_vm(mesh: SoakMesh, rng: random.Random) -> Vm:
    """Return a VM; one of a new version only once it was started.

    The choice takes the same random numbers in both cases, so that the
    faults of a seed don't depend on the time of its order.
    """
    vm = rng.choice(mesh.vms + mesh.new_vms)
    return vm if vm.start_count else mesh.vms[0]


async def inject_faults(
    mesh: SoakMesh, seed: int, *, count: int, span: float
) -> None:
    """Start ``count`` faults over about ``span`` seconds; await their end."""
    rng = random.Random(seed)
    faults = find_all_faults(seed)
    names = sorted(faults)
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            await asyncio.sleep(rng.uniform(0, 2 * span / count))
            chosen = faults[rng.choice(names)]
            vm = choose_vm(mesh, rng)
            context = FaultContext(
                mesh=mesh,
                vm=vm,
                rng=random.Random(rng.random()),
            )
            typer.echo(f'{chosen.__name__} on {vm.name}')
            group.create_task(chosen(context))
