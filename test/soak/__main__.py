"""Run seeds by hand and keep the logs of those that fail."""

import asyncio
import random
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from test.soak.runner import run_soak

#: Violations of one seed that are printed at most.
_MAX_PRINTED_VIOLATIONS = 10


def main(
    seeds: Annotated[int, typer.Option(help='Number of seeds to run.')] = 50,
    first: Annotated[
        int, typer.Option(help='First seed; 0 picks one at random.')
    ] = 0,
    count: Annotated[
        int, typer.Option(help='Faults to inject in each run.')
    ] = 12,
    span: Annotated[
        float, typer.Option(help='Seconds over which faults begin.')
    ] = 8,
) -> None:
    """Run the soak test; exit with 1 if a guarantee was violated."""
    start = first or random.SystemRandom().randrange(1, 10**9)
    failed = [
        seed
        for seed in range(start, start + seeds)
        if not run_seed(seed, count=count, span=span)
    ]
    passed = seeds - len(failed)
    typer.echo(f'{passed} passed, {len(failed)} failed: {failed}')
    sys.exit(bool(failed))


def run_seed(seed: int, *, count: int, span: float) -> bool:
    """Return whether the run of a seed violated no guarantee."""
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    violations = asyncio.run(
        run_soak(folder, seed, count=count, span=span, is_timed=True),
    )
    if not violations:
        shutil.rmtree(folder)
        return True
    typer.echo(f'seed {seed}: {len(violations)} violations, logs in {folder}:')
    typer.echo('\n'.join(violations[:_MAX_PRINTED_VIOLATIONS]))
    return False


if __name__ == '__main__':
    typer.run(main)
