"""Scripted daemons that claim keys on a shared fake log."""

import random
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf import limits
from goldcrestwharf.timers import ManualTimers
from test.limits.fakelog import FakeLog, Fault

STEP_S = 0.3
CFG = limits.LimitSettings(claim_timeout_ms=200)


@attrs.define(kw_only=True)
class Daemon:
    """The claims of one daemon, run until it is killed."""

    claims: limits.Claims
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    won: limits.Won | None = None
    claim_results: list[limits.ClaimResult] = attrs.field(factory=list)

    async def run(self) -> None:
        with self.scope:
            await self.claims.run()

    async def claim(self, key: str = 'k', fingerprint: str = 'f') -> None:
        """Claim a key and record the claim result."""
        claim_result = await self.claims.claim(
            key=key,
            caller='guide',
            fingerprint=fingerprint,
        )
        self.claim_results.append(claim_result)
        if isinstance(claim_result, limits.Won):
            self.won = claim_result

    def finish(self, end: str, answer: bytes = b'') -> None:
        assert self.won is not None
        self.claims.finish(self.won, limits.ClaimEnd(end), answer=answer)


@attrs.define(kw_only=True)
class Mesh:
    """Daemons driven by a script; each starts when it is first named.

    Steps are ``a:claim=Won`` (claim and check the result's class),
    ``a:other=Conflict`` (claim for another request), ``a:done``,
    ``a:unknown``, ``a:not-run``, ``a:kill``, ``a:cancel`` (cancel a claim
    in progress), ``log:`` with a fault, ``log:deliver`` and ``wait:`` with
    seconds.
    """

    tg: TaskGroup
    cfg: limits.LimitSettings = CFG
    log: FakeLog = attrs.field(factory=FakeLog)
    timers: ManualTimers = attrs.field(factory=ManualTimers)
    daemons: dict[str, Daemon] = attrs.field(factory=dict)

    async def run_script(self, script: str) -> None:
        steps = deque(script.split())
        while steps:
            await self.step(steps.popleft())

    async def step(self, step: str) -> None:
        name, _, action = step.partition(':')
        if name == 'log':
            self._change_log(action)
        elif name == 'wait':
            await self.timers.advance(float(action))
        else:
            await self._act(await self.find(name), action)
        await self.timers.advance(STEP_S)

    async def find(self, name: str) -> Daemon:
        if name not in self.daemons:
            daemon = Daemon(
                claims=limits.Claims(
                    log=self.log,
                    cfg=self.cfg,
                    timers=self.timers,
                    rng=random.Random(name),
                ),
            )
            self.daemons[name] = daemon
            self.tg.start_soon(daemon.run)
            await self.timers.advance(STEP_S)
        return self.daemons[name]

    async def _act(self, daemon: Daemon, action: str) -> None:
        action, _, expected = action.partition('=')
        match action:
            case 'claim' | 'other':
                fingerprint = 'f' if action == 'claim' else 'other'
                self.tg.start_soon(daemon.claim, 'k', fingerprint)
                await self.timers.advance(STEP_S)
                assert type(daemon.claim_results[-1]).__name__ == expected
            case 'cancel':
                async with anyio.create_task_group() as tg:
                    tg.start_soon(daemon.claim)
                    await anyio.wait_all_tasks_blocked()
                    tg.cancel_scope.cancel()
            case 'kill':
                daemon.scope.cancel()
            case _:
                daemon.finish(action, b'paid')

    def _change_log(self, action: str) -> None:
        if action == 'deliver':
            self.log.deliver_late()
            return
        self.log.fault = Fault(action)
        self.log.wake()


@asynccontextmanager
async def open_mesh(cfg: limits.LimitSettings = CFG) -> AsyncIterator[Mesh]:
    async with anyio.create_task_group() as tg:
        yield Mesh(tg=tg, cfg=cfg)
        tg.cancel_scope.cancel()
