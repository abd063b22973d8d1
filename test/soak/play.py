"""Play one seed: faults come, end, and the mesh has to serve again."""

import asyncio
from pathlib import Path

import typer

from test.soak.faults import inject
from test.soak.world import open_world

#: Seconds in which a play whose faults are over has to serve again, as the
#: users ask of the system after a loss of all machines.
RECOVER_S = 15.0


async def play(
    folder: Path,
    seed: int,
    *,
    count: int,
    span: float,
    is_timed: bool,
) -> list[str]:
    """Return the promises that were broken.

    Without ``is_timed`` no verdict depends on how long something took, and a
    mesh that never serves again is waited for.
    """
    async with open_world(folder, seed) as world:
        await inject(world, seed, count=count, span=span)
        try:
            async with asyncio.timeout(RECOVER_S if is_timed else None):
                await world.wait_until_served()
        except TimeoutError:
            world.records.late.append('not served after the faults')
        world.is_over = True
        # The last requests run out before they are counted.
        await asyncio.sleep(1)
        seen = world.records.seen.values()
        served = sum(each.status == 200 for each in seen)
        typer.echo(f'seed {seed}: {served} of {len(seen)} served')
        broken = world.records.check()
        return broken + world.records.late if is_timed else broken
