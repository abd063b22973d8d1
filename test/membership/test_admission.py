import random

from goldcrestwharf.membership._admission import Admission
from goldcrestwharf.timers import ManualTimers
from test.helper import SEED


async def test_askers_beyond_the_rate_are_told_when_to_come_back() -> None:
    timers = ManualTimers()
    admission = Admission(
        records_per_s=100,
        timers=timers,
        rng=random.Random(SEED),
    )
    assert admission.wait_needed() == 0
    admission.spend(300)
    waits = [admission.wait_needed() for _ in range(100)]
    assert min(waits) >= 2
    assert max(waits) <= 4
    assert max(waits) - min(waits) > 1
    await timers.advance(2.1)
    assert admission.wait_needed() == 0


async def test_an_idle_second_does_not_save_up_room() -> None:
    timers = ManualTimers()
    admission = Admission(
        records_per_s=100,
        timers=timers,
        rng=random.Random(SEED),
    )
    await timers.advance(60)
    assert admission.wait_needed() == 0
    admission.spend(101)
    assert admission.wait_needed() > 0
