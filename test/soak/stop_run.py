"""Stop the daemons of a mesh in series, and judge each request meanwhile."""

import asyncio
import random
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from test.soak.stop_checks import Verdict, count_endings, judge, list_violations
from test.soak.stop_factory import ZONES
from test.soak.stop_mesh import open_stop_mesh
from test.soak.stop_pauses import PAUSE, read_pauses, watch_own_pauses
from test.soak.stop_records import StopRecords
from test.soak.stop_traffic import Traffic
from test.soak.stop_variants import LINK_VARIANTS, Variant, roll
from test.soak.vm import ROOT

#: Longest time that a request lasts after the last stop, in seconds.
_LAST_ANSWERS_S = 6.0


async def run_stops(
    folder: Path,
    seed: int,
    *,
    variant: Variant = Variant.ROLL,
    source: Path = ROOT,
    traffic: Traffic = Traffic.SINGLE,
    stops: int = 13,
    callers: int = 6,
    zones: tuple[str, ...] = ZONES,
) -> StopRecords:
    """Return what callers and targets saw in one run."""
    async with open_stop_mesh(
        folder,
        seed,
        source=source,
        has_proxies=variant in LINK_VARIANTS,
        zones=zones,
    ) as mesh:
        watching = asyncio.create_task(watch_own_pauses(mesh.records))
        await mesh.start(callers, traffic)
        await roll(mesh, variant, stops)
        await asyncio.sleep(_LAST_ANSWERS_S)
        watching.cancel()
        mesh.records.disruptions.extend(read_pauses(folder))
        return mesh.records


def main(
    seeds: Annotated[int, typer.Option(help='Number of seeds to run.')] = 3,
    first: Annotated[
        int, typer.Option(help='First seed; 0 picks one at random.')
    ] = 0,
    variant: Annotated[
        Variant, typer.Option(help='What accompanies the stops.')
    ] = Variant.ROLL,
    traffic: Annotated[
        Traffic, typer.Option(help='What callers send.')
    ] = Traffic.SINGLE,
    stops: Annotated[int, typer.Option(help='Stops in each run.')] = 13,
    vms: Annotated[int, typer.Option(help='VMs of the mesh.')] = 13,
    callers: Annotated[int, typer.Option(help='Callers at each VM.')] = 6,
    source: Annotated[
        Path, typer.Option(help='Tree whose code the daemons run.')
    ] = ROOT,
) -> None:
    """Run the soak test of planned stops; exit with 1 if a request was lost."""
    start = first or random.SystemRandom().randrange(1, 10**9)
    failed = []
    for seed in range(start, start + seeds):
        folder = Path(
            tempfile.mkdtemp(prefix=f'stop-{variant}-{traffic}-{seed}-')
        )
        records = asyncio.run(
            run_stops(
                folder,
                seed,
                variant=variant,
                source=source,
                stops=stops,
                traffic=traffic,
                callers=callers,
                zones=spread(vms),
            )
        )
        typer.echo(f'seed {seed}: logs in {folder}')
        if not report(records):
            failed.append(seed)
    passed = seeds - len(failed)
    typer.echo(f'{passed} passed, {len(failed)} failed: {failed}')
    sys.exit(bool(failed))


def spread(vms: int) -> tuple[str, ...]:
    """Return the zones of a mesh of up to 13 VMs."""
    return tuple(ZONES[number * len(ZONES) // vms] for number in range(vms))


def report(records: StopRecords) -> bool:
    """Print the counts of a run; return whether nothing was lost."""
    verdicts = list(judge(records))
    lost = [verdict for verdict in verdicts if verdict.is_lost]
    violations = list(list_violations(records))
    runs = sum(map(len, records.runs.values()))
    stops = len(records.stops)
    pauses = sum(span.kind == PAUSE for span in records.disruptions)
    typer.echo(f'{pauses} pauses of processes on the busy machine')
    typer.echo(f'{stops} stops, of which {records.killed} ended by SIGKILL')
    typer.echo(f'{len(verdicts)} requests, {runs} runs, {len(lost)} lost')
    for ending, count in sorted(count_endings(verdicts).items()):
        typer.echo(f'  {count} {ending}')
    for verdict in verdicts:
        if verdict.is_lost or verdict.excuse or verdict.is_closed_after_run:
            typer.echo(f'  {describe(records, verdict)}')
    for violation in violations:
        typer.echo(f'  violation: {violation}')
    return not (lost or violations)


def describe(records: StopRecords, verdict: Verdict) -> str:
    """Return a line on a request, with times in seconds.

    They count from SIGTERM, or from the request if its daemon did not stop.
    """
    request = verdict.request
    stop = verdict.stop
    began_at = request.sent_at if stop is None else stop.began_at
    sent = round(request.sent_at - began_at, 2)
    ended = round(request.ended_at - began_at, 2)
    loss = 'LOST' if verdict.is_lost else 'closed'
    reason = verdict.excuse or loss
    parts = [
        f'{reason}: {request.request_id} at {request.vm}',
        f'limit {request.limit:.2f}',
        f'sent {sent}',
        f'ended {ended}',
        f'status {request.status}',
        verdict.ending.value,
    ]
    for run in records.find_runs(request):
        first = round(run.began_at - began_at, 2)
        last = round(run.ended_at - began_at, 2)
        cut = ' (cut)' if run.is_cut else ''
        parts.append(f'run at {run.vm} {first} to {last}{cut}')
    return ', '.join(parts)


if __name__ == '__main__':
    typer.run(main)
