import anyio

from goldcrestwharf.timers import Backoff, ManualTimers, subscribe
from test.helper import make_rng


async def test_sleeping_tasks_wake_in_order_of_time() -> None:
    timers = ManualTimers()
    woken: list[float] = []

    async def sleep(seconds: float) -> None:
        await timers.sleep(seconds)
        woken.append(timers.now())

    async with anyio.create_task_group() as tg:
        for seconds in (3, 1, 2):
            tg.start_soon(sleep, seconds)
        await timers.advance(2.5)
        assert woken == [1, 2]
        await timers.advance(1)
    assert woken == [1, 2, 3]


async def test_limit_cancels_only_after_the_timeout() -> None:
    timers = ManualTimers()
    outcomes: list[bool] = []

    async def wait(seconds: float) -> None:
        with timers.limit(2) as scope:
            await timers.sleep(seconds)
        outcomes.append(scope.cancelled_caught)

    async with anyio.create_task_group() as tg:
        tg.start_soon(wait, 1)
        tg.start_soon(wait, 5)
        await timers.advance(5)
    assert outcomes == [False, True]


async def test_subscription_ticks_with_limited_jitter() -> None:
    timers = ManualTimers()
    ticks: list[float] = []

    async def collect() -> None:
        rng = make_rng()
        async for now in subscribe(timers, period=1, jitter=0.5, rng=rng):
            ticks.append(now)

    async with anyio.create_task_group() as tg:
        tg.start_soon(collect)
        await timers.advance(10)
        tg.cancel_scope.cancel()
    gaps = [end - start for start, end in zip([0, *ticks], ticks, strict=False)]
    assert len(ticks) >= 10
    assert all(0.5 <= gap <= 1 for gap in gaps)


def test_backoff_is_capped_and_reset_by_a_success() -> None:
    backoff = Backoff(base=1, cap=8, rng=make_rng())
    waits = [backoff.record_failure(0) for _ in range(50)]
    assert waits[0] <= 1
    assert max(waits) <= 8
    assert max(waits) > 4
    assert backoff.remaining(0) == waits[-1]
    backoff.record_success()
    assert backoff.remaining(0) == 0
