import pytest

from goldcrestwharf.limits import (
    CallerShares,
    LimitSettings,
    RefusalReason,
    ShareKey,
)

CFG = LimitSettings(max_in_flight=120)


def fill(shares: CallerShares, caller: str, service: str) -> int:
    """Start requests until one is refused and return how many started."""
    key = ShareKey(caller=caller, service=service)
    started = 0
    while shares.acquire(key) is None:
        started += 1
    return started


@pytest.mark.parametrize(
    ('names', 'expected'),
    [
        ([('noisy', 'menu'), ('quiet', 'menu')], [60, 20]),
        ([('noisy', 'menu'), ('quiet', 'orders')], [60, 30]),
        ([(f'c{number}', 'menu') for number in range(3)], [60, 20, 0]),
        ([('a', 'menu'), ('b', 'orders'), ('c', 'rights')], [60, 30, 15]),
    ],
)
def test_no_caller_takes_all_capacity(
    names: list[tuple[str, str]],
    expected: list[int],
) -> None:
    shares = CallerShares(cfg=CFG)
    assert [fill(shares, *name) for name in names] == expected


def test_slow_service_leaves_capacity_for_others() -> None:
    shares = CallerShares(cfg=CFG)
    callers = [f'c{number}' for number in range(100)]
    held = sum(fill(shares, caller, 'slow') for caller in callers)
    assert held == 80
    refusal = shares.acquire(ShareKey(caller='new', service='slow'))
    assert refusal is not None
    assert refusal.reason is RefusalReason.SERVICE_SHARE
    assert refusal.retry_after == 0.2
    assert shares.acquire(ShareKey(caller='new', service='menu')) is None


def test_finished_requests_free_the_share() -> None:
    shares = CallerShares(cfg=CFG)
    first = fill(shares, 'a', 'menu')
    for _ in range(first):
        shares.release(ShareKey(caller='a', service='menu'))
    assert fill(shares, 'b', 'menu') == first
