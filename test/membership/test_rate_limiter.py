import random

from goldcrestwharf.membership._rate_limiter import RecordRateLimiter
from goldcrestwharf.timers import ManualTimers
from test.helper import SEED


async def test_peers_over_the_rate_get_a_retry_time() -> None:
    timers = ManualTimers()
    rate_limiter = RecordRateLimiter(
        records_per_s=100,
        timers=timers,
        rng=random.Random(SEED),
    )
    assert rate_limiter.retry_after() == 0
    rate_limiter.consume(300)
    waits = [rate_limiter.retry_after() for _ in range(100)]
    assert min(waits) >= 2
    assert max(waits) <= 4
    assert max(waits) - min(waits) > 1
    await timers.advance(2.1)
    assert rate_limiter.retry_after() == 0


async def test_tokens_are_capped_at_one_second() -> None:
    timers = ManualTimers()
    rate_limiter = RecordRateLimiter(
        records_per_s=100,
        timers=timers,
        rng=random.Random(SEED),
    )
    await timers.advance(60)
    assert rate_limiter.retry_after() == 0
    rate_limiter.consume(101)
    assert rate_limiter.retry_after() > 0
