"""Run one seed: inject faults, then check that the mesh recovers."""

import asyncio
from pathlib import Path

import typer

from test.soak.injection import inject_faults
from test.soak.mesh import open_mesh
from test.soak.rollout_run import read_states, run_rollout

#: Seconds in which the mesh has to serve again after the last fault; the
#: requirement for the recovery from a loss of all VMs.
RECOVERY_TIMEOUT_S = 15.0


async def run_soak(
    folder: Path,
    seed: int,
    *,
    count: int,
    span: float,
    is_timed: bool,
) -> list[str]:
    """Return the guarantees that were violated.

    Without ``is_timed`` the result depends on no duration: timing violations
    are left out, and the recovery has no time limit.
    """
    async with open_mesh(folder, seed) as mesh:
        async with asyncio.TaskGroup() as group:
            group.create_task(inject_faults(mesh, seed, count=count, span=span))
            group.create_task(run_rollout(mesh))
        try:
            async with asyncio.timeout(
                RECOVERY_TIMEOUT_S if is_timed else None
            ):
                await mesh.wait_until_served()
        except TimeoutError:
            mesh.records.timing_violations.append('not served after the faults')
        mesh.is_finished = True
        # Let the requests in flight end before they are counted.
        await asyncio.sleep(1)
        sent = mesh.records.sent.values()
        served = sum(each.status == 200 for each in sent)
        typer.echo(f'seed {seed}: {served} of {len(sent)} served')
        rollout = mesh.records.rollout
        if rollout is not None:
            read_states(mesh, rollout)
            typer.echo(rollout.describe())
        violations = mesh.records.check()
        return (
            violations + mesh.records.timing_violations
            if is_timed
            else violations
        )
