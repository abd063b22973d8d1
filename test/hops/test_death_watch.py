"""Check that each death of a target is counted, and counted once."""

import random

import anyio

from goldcrestwharf.hops._death_watch import DeathWatch
from goldcrestwharf.limits import CrashGuard, LimitSettings
from goldcrestwharf.timers import ManualTimers
from test.helper import SEED

ADDRESS = '127.0.0.1:9001'
POPULAR = 'p' * 32


class DeadTarget:
    """Be a target whose process has ended."""

    async def is_alive(self, _address: str) -> bool:
        return False


async def count_deaths(pause: float, *, answers_between: bool) -> int:
    """Lose two connections one after another and count the deaths."""
    timers = ManualTimers()
    guard = CrashGuard(
        cfg=LimitSettings(),
        timers=timers,
        rng=random.Random(SEED),
    )
    async with anyio.create_task_group() as tg:
        watch = DeathWatch(
            client=DeadTarget(),
            guard=guard,
            tg=tg,
            timers=timers,
        )
        for _ in range(2):
            with watch.run(ADDRESS, POPULAR) as running:
                watch.note_loss(running)
            await timers.advance(pause)
            if answers_between:
                watch.note_answer(ADDRESS)
    return len(guard.table.find(POPULAR).deaths)


async def test_connections_to_one_dead_process_are_one_death() -> None:
    assert await count_deaths(0.2, answers_between=False) == 1


async def test_target_that_answered_since_dies_anew() -> None:
    assert await count_deaths(0.2, answers_between=True) == 2


async def test_target_that_came_back_unseen_dies_anew() -> None:
    assert await count_deaths(5, answers_between=False) == 2
