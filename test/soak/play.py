"""Play one seed: faults come, end, and the mesh has to serve again."""

import asyncio
from pathlib import Path

import typer

from test.soak.faults import inject
from test.soak.world import open_world

#: Seconds in which a play whose faults are over has to serve again.
RECOVER_S = 15.0


async def play(
    folder: Path, seed: int, *, count: int, span: float
) -> list[str]:
    """Return the promises that were broken."""
    async with open_world(folder, seed) as world:
        await inject(world, seed, count=count, span=span)
        try:
            async with asyncio.timeout(RECOVER_S):
                await world.wait_until_served()
        except TimeoutError:
            world.records.broken.append('not served after the faults')
        world.is_over = True
        # The last requests run out before they are counted.
        await asyncio.sleep(1)
        seen = world.records.seen.values()
        served = sum(each.status == 200 for each in seen)
        typer.echo(f'seed {seed}: {served} of {len(seen)} served')
        return world.records.check()
