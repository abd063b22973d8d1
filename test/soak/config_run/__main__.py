"""Run seeds by hand and keep the logs of those that fail."""

import asyncio
import random
import shutil
import sys
import tempfile
from collections import Counter, defaultdict
from pathlib import Path
from typing import Annotated

import typer

from test.soak.config_run.judge import Finding
from test.soak.config_run.kinds import list_kinds
from test.soak.config_run.runner import Terms, print_report, run_seed
from test.soak.vm import ROOT

_MAX_PRINTED = 6


def main(
    seeds: Annotated[int, typer.Option(help='Number of seeds to run.')] = 5,
    first: Annotated[
        int, typer.Option(help='First seed; 0 picks one at random.')
    ] = 0,
    source: Annotated[
        Path, typer.Option(help='Source tree with the code of the daemons.')
    ] = ROOT,
    daemons: Annotated[int, typer.Option(help='Number of daemons.')] = 13,
    kinds: Annotated[
        str,
        typer.Option(help='Kinds of disruption, by comma; all, or none.'),
    ] = 'all',
    span: Annotated[
        float, typer.Option(help='Seconds over which disruptions begin.')
    ] = 60,
    gap: Annotated[
        str, typer.Option(help='Least and greatest seconds between two.')
    ] = '2,5',
    pauses: Annotated[
        bool, typer.Option(help='Pause between series of versions.')
    ] = True,
    large: Annotated[
        bool, typer.Option(help='Publish large configurations only.')
    ] = False,
    fast: Annotated[
        int,
        typer.Option(help='Daemons of a zone that have high bandwidth.'),
    ] = 1000,
    keep: Annotated[
        bool, typer.Option(help='Keep the logs of all seeds.')
    ] = False,
) -> None:
    """Run seeds; exit with 1 if a request was handled wrongly."""
    start = first or random.SystemRandom().randrange(1, 10**9)
    least, greatest = map(float, gap.split(','))
    failed = []
    for seed in range(start, start + seeds):
        terms = Terms(
            folder=Path(tempfile.mkdtemp(prefix=f'config-{seed}-')),
            source=source.resolve(),
            daemons=daemons,
            kinds=find_kinds(kinds),
            span=span,
            gap=(least, greatest),
            has_pauses=pauses,
            is_large=large,
            fast=fast,
        )
        if not run_one(seed, terms, keep=keep):
            failed.append(seed)
    passed = seeds - len(failed)
    typer.echo(f'{passed} passed, {len(failed)} failed: {failed}')
    sys.exit(bool(failed))


def find_kinds(written: str) -> list[str]:
    """Return the kinds that are named, sorted if these are all."""
    named = {'all': sorted(list_kinds()), 'none': []}
    return named.get(written, written.split(','))


def run_one(seed: int, terms: Terms, *, keep: bool) -> bool:
    """Return whether the run of a seed has no findings."""
    report = asyncio.run(run_seed(seed, terms))
    print_report(seed, report)
    if report.findings:
        print_findings(report.findings, terms.folder)
        return False
    if keep:
        typer.echo(f'  logs in {terms.folder}')
    else:
        shutil.rmtree(terms.folder)
    return True


def print_findings(findings: list[Finding], folder: Path) -> None:
    """Print how often each rule was broken, where and after what."""
    groups: dict[tuple[str, str, str], list[float]] = defaultdict(list)
    for each in findings:
        key = (each.rule.value, each.daemon, each.after or '-')
        groups[key].append(each.seconds)
    for (rule, daemon, after), times in sorted(groups.items()):
        place = f'{len(times)} at {daemon} after {after}'
        typer.echo(f'  {rule}: {place}, up to {max(times):.2f} s')
    totals = Counter(each.rule.value for each in findings)
    typer.echo(f'  totals {dict(totals)}, logs in {folder}:')
    for finding in findings[:_MAX_PRINTED]:
        typer.echo(f'    {finding.text}')


if __name__ == '__main__':
    typer.run(main)
