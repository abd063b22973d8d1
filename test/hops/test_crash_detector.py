"""Check that each crash of a target is counted exactly once."""

import random

import anyio

from goldcrestwharf.hops._crash_detector import CrashDetector
from goldcrestwharf.limits import LimitSettings
from goldcrestwharf.quarantine import CrashGuard
from goldcrestwharf.timers import ManualTimers
from test.helper import SEED

ADDRESS = '127.0.0.1:9001'
FINGERPRINT = 'p' * 32


class CrashedTarget:
    """A target whose process has ended."""

    async def is_alive(self, _address: str) -> bool:
        return False


async def count_crashes(pause: float, *, answers_between: bool) -> int:
    """Lose two connections one after the other and count the crashes."""
    timers = ManualTimers()
    guard = CrashGuard(
        cfg=LimitSettings(),
        clock=timers.now,
        rng=random.Random(SEED),
    )
    async with anyio.create_task_group() as tg:
        detector = CrashDetector(
            client=CrashedTarget(),
            guard=guard,
            tg=tg,
            timers=timers,
        )
        for _ in range(2):
            with detector.track(ADDRESS, FINGERPRINT) as running:
                detector.check_lost_connection(running)
            await timers.advance(pause)
            if answers_between:
                detector.record_answer(ADDRESS)
    return len(guard.table.find(FINGERPRINT).deaths)


async def test_connections_lost_in_quick_succession_are_one_crash() -> None:
    assert await count_crashes(0.2, answers_between=False) == 1


async def test_loss_after_an_answer_is_another_crash() -> None:
    assert await count_crashes(0.2, answers_between=True) == 2


async def test_loss_long_after_a_crash_is_another_crash() -> None:
    assert await count_crashes(5, answers_between=False) == 2
