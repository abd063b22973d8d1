"""Property test: runs per key under random faults of log and daemons."""

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from test.limits.claimmesh import Daemon, Mesh, open_mesh
from test.limits.conftest import settle_quickly

DAEMONS = 'abc'
DAEMON_ACTIONS = ('ask', 'claim', 'pause', 'done', 'unknown', 'not-run', 'kill')
LOG_ACTIONS = ('well', 'well', 'out', 'lose', 'hold', 'repeat', 'deliver')
CLAIM_ACTIONS = ('claim', 'ask')
WAITS_S = ('0.01', '0.2', '5', '61')

STEPS = (
    *(f'{name}:{action}' for name in DAEMONS for action in DAEMON_ACTIONS),
    *(f'log:{action}' for action in LOG_ACTIONS),
    *(f'wait:{wait}' for wait in WAITS_S),
)


class RunCounter:
    """Counter of dispatched runs while daemons act on their claim results.

    A daemon that won dispatches as soon as it isn't paused. Daemons report
    the end correctly: ``not-run`` only before a dispatch, ``done`` and
    ``unknown`` only after it.
    """

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.runs = 0
        self._paused: set[str] = set()
        self._dispatched: set[str] = set()

    async def step(self, step: str) -> None:
        name, _, action = step.partition(':')
        if action == 'kill':
            await self.mesh.step(step)
            self.mesh.daemons.pop(name)
        elif action in CLAIM_ACTIONS:
            await self._claim(name, action)
        elif action == 'pause':
            self._paused ^= {name}
        elif name in DAEMONS:
            await self._finish(name, action)
        else:
            await self.mesh.step(step)
        self._dispatch_running()

    def _dispatch_running(self) -> None:
        for running in self.mesh.daemons.keys() - self._paused:
            self._dispatch(self.mesh.daemons[running])

    async def _claim(self, name: str, action: str) -> None:
        daemon = await self.mesh.find(name)
        if daemon.won is None:
            self.mesh.tg.start_soon(daemon.claim)
            wait = 0.3 if action == 'ask' else 0
            await self.mesh.timers.advance(wait)

    async def _finish(self, name: str, end: str) -> None:
        daemon = self.mesh.daemons.get(name)
        if daemon is None or daemon.won is None:
            return
        has_run = daemon.won.record.claim_id in self._dispatched
        if has_run is (end != 'not-run'):
            await self.mesh.step(f'{name}:{end}')
            daemon.won = None

    def _dispatch(self, daemon: Daemon) -> None:
        won = daemon.won
        if won is None or won.record.claim_id in self._dispatched:
            return
        if daemon.claims.may_dispatch(won):
            self._dispatched.add(won.record.claim_id)
            self.runs += 1


async def count_runs(steps: list[str]) -> int:
    async with open_mesh() as mesh:
        counter = RunCounter(mesh)
        pending = list(reversed(steps))
        while pending:
            await counter.step(pending.pop())
    return counter.runs


@settings(derandomize=True, deadline=None, database=None, max_examples=500)
@given(steps=st.lists(st.sampled_from(STEPS), min_size=8, max_size=24))
def test_key_runs_at_most_once_under_any_faults(steps: list[str]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(anyio, 'wait_all_tasks_blocked', settle_quickly)
        assert anyio.run(count_runs, steps) <= 1
