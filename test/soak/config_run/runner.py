"""Run one seed and judge how its requests were handled."""

import asyncio
import contextlib
import random
import time
from collections.abc import Coroutine, Sequence
from functools import partial
from pathlib import Path

import attrs
import typer

from test.soak.config_run.daemon_logs import list_pauses
from test.soak.config_run.fleet import Fleet, make_fleet
from test.soak.config_run.judge import Broken, Finding, Judge
from test.soak.config_run.kinds import Context, list_kinds
from test.soak.config_run.reader_kinds import list_reader_kinds
from test.soak.vm import ROOT
from test.system.mesh import poll

#: Seconds in which the daemons have to serve after the last disruption.
_RECOVERY_TIMEOUT_S = 15.0
_LAG_INTERVAL_S = 0.05
_CLIENTS = (True, True, False)

#: More daemons than a zone has.
_ALL_FAST = 1000

#: Rules that a daemon may break if the machine that runs it is busy.
_TIMED_RULES = frozenset((Broken.LATE, Broken.NEVER_SERVED))


@attrs.frozen(kw_only=True)
class Terms:
    """What a run consists of.

    Disruptions of ``kinds`` begin ``gap`` seconds apart, for ``span`` seconds.
    All versions are large if ``is_large`` is set. All but the first ``fast``
    daemons of a zone have low-bandwidth links. Without ``is_timed`` the
    result doesn't depend on the speed of the machine.
    """

    folder: Path
    source: Path = ROOT
    daemons: int = 13
    kinds: Sequence[str] = ()
    span: float = 60
    gap: tuple[float, float] = (2, 5)
    has_pauses: bool = True
    is_large: bool = False
    fast: int = _ALL_FAST
    is_timed: bool = True


@attrs.define(kw_only=True)
class Report:
    """The findings of a run, and counts that tell how much it covered.

    ``lag`` is by how many seconds this process was late itself, ``stretch``
    how late requests were within the bounds.
    """

    findings: list[Finding] = attrs.field(factory=list)
    sent: int = 0
    served: int = 0
    versions: int = 0
    lag: float = 0
    stretch: float = 0


async def run_seed(seed: int, terms: Terms) -> Report:
    """Run a seed; its logs and a journal are left in the folder."""
    fleet = await make_fleet(
        terms.folder,
        terms.source,
        seed=seed,
        count=terms.daemons,
        is_large=terms.is_large,
        fast=terms.fast,
    )
    run = Run(fleet=fleet, terms=terms, rng=random.Random(seed))
    with contextlib.closing(fleet):
        await run.run()
    return run.judge()


@attrs.define(kw_only=True, eq=False)
class Run:
    """One run of a seed."""

    fleet: Fleet
    terms: Terms
    rng: random.Random
    _lag: float = 0
    _is_recovered: bool = True
    _background: list['asyncio.Task[None]'] = attrs.field(factory=list)

    async def run(self) -> None:
        """Start all parts, disrupt them and let them recover."""
        fleet = self.fleet
        await self._start_daemons()
        clients = [
            asyncio.create_task(fleet.run_client(vm, is_kept=is_kept))
            for vm in fleet.vms
            for is_kept in _CLIENTS
        ]
        publishing = self._start(self._publish())
        await self._disrupt()
        publishing.cancel()
        await self._recover()
        fleet.is_finished = True
        await asyncio.gather(*clients)
        for task in self._background:
            task.cancel()

    def judge(self) -> Report:
        """Return what was handled wrongly."""
        fleet = self.fleet
        requests = list(fleet.requests.values())
        for vm in fleet.vms:
            fleet.contact.disruptions.extend(
                list_pauses(self.terms.folder, vm.name)
            )
        judge = Judge(
            history=fleet.operator.history,
            contact=fleet.contact,
        )
        findings = [*judge.judge(requests), *fleet.list_exits()]
        if not self.terms.is_timed:
            findings = [
                each for each in findings if each.rule not in _TIMED_RULES
            ]
        if not self._is_recovered:
            text = 'not served after the disruptions'
            findings.append(
                Finding(
                    rule=Broken.NEVER_SERVED, daemon='all', after='', text=text
                )
            )
        for finding in findings:
            fleet.note('finding', text=finding.text, at=finding.at)
        return Report(
            findings=findings,
            sent=len(requests),
            served=sum(each.status == 200 for each in requests),
            versions=len(fleet.operator.history.versions),
            lag=self._lag,
            stretch=judge.find_stretch(requests),
        )

    async def _start_daemons(self) -> None:
        for vm in self.fleet.vms:
            vm.start()
            self._start(vm.target.send_heartbeats())
            self._start(vm.supervise(self.fleet.exits))
        self._start(self._measure_lag())
        await self._wait_until_served()
        self.fleet.note('ready')

    async def _recover(self) -> None:
        limit = _RECOVERY_TIMEOUT_S if self.terms.is_timed else None
        try:
            async with asyncio.timeout(limit):
                await self._wait_until_served()
        except TimeoutError:
            self._is_recovered = False

    def _start(
        self, coroutine: Coroutine[None, None, None]
    ) -> 'asyncio.Task[None]':
        task = asyncio.create_task(coroutine)
        self._background.append(task)
        return task

    async def _wait_until_served(self) -> None:
        fleet = self.fleet
        async with asyncio.TaskGroup() as group:
            for vm in fleet.vms:
                group.create_task(poll(partial(fleet.serves_all_routes, vm)))

    async def _publish(self) -> None:
        """Publish versions in quick succession, with pauses in between."""
        rng = random.Random(self.rng.random())
        while True:
            ends_at = time.monotonic() + rng.uniform(4, 15)
            while time.monotonic() < ends_at:
                self.fleet.publish()
                await asyncio.sleep(rng.uniform(0.2, 1))
            if self.terms.has_pauses:
                await asyncio.sleep(rng.uniform(1, 6))

    async def _disrupt(self) -> None:
        rng = random.Random(self.rng.random())
        known = list_kinds() | list_reader_kinds()
        ends_at = time.monotonic() + self.terms.span
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                await asyncio.sleep(rng.uniform(*self.terms.gap))
                if not self.terms.kinds:
                    continue
                name = rng.choice(self.terms.kinds)
                self.fleet.note('disruption', kind=name)
                context = Context(
                    fleet=self.fleet, rng=random.Random(rng.random())
                )
                group.create_task(known[name](context))

    async def _measure_lag(self) -> None:
        """Record by how much this process is late itself."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(_LAG_INTERVAL_S)
            lag = time.monotonic() - before - _LAG_INTERVAL_S
            self._lag = max(self._lag, lag)


def describe(report: Report) -> str:
    """Return the counts of a run as one line."""
    return (
        f'{report.versions} versions, {report.served} of {report.sent} served,'
        f' lag {report.lag:.2f} s, allowed lateness {report.stretch:.2f} s'
    )


def print_report(seed: int, report: Report) -> None:
    typer.echo(f'seed {seed}: {describe(report)}')
