import pytest

from goldcrestwharf.limits import (
    CallerShares,
    Entry,
    LimitSettings,
    RefusalReason,
)

CFG = LimitSettings(max_in_flight=120)


def fill(shares: CallerShares, caller: str, service: str) -> int:
    """Enter until refused and return how many did."""
    entry = Entry(caller=caller, service=service)
    entered = 0
    while shares.enter(entry) is None:
        entered += 1
    return entered


@pytest.mark.parametrize(
    ('names', 'expected'),
    [
        ([('noisy', 'menu'), ('quiet', 'menu')], [60, 20]),
        ([('noisy', 'menu'), ('quiet', 'orders')], [60, 30]),
        ([(f'c{number}', 'menu') for number in range(3)], [60, 20, 0]),
        ([('a', 'menu'), ('b', 'orders'), ('c', 'rights')], [60, 30, 15]),
    ],
)
def test_nobody_takes_all(
    names: list[tuple[str, str]],
    expected: list[int],
) -> None:
    shares = CallerShares(cfg=CFG)
    assert [fill(shares, *name) for name in names] == expected


def test_a_faltering_service_leaves_room_for_the_others() -> None:
    shares = CallerShares(cfg=CFG)
    callers = [f'c{number}' for number in range(100)]
    held = sum(fill(shares, caller, 'faltering') for caller in callers)
    assert held == 80
    refusal = shares.enter(Entry(caller='new', service='faltering'))
    assert refusal is not None
    assert refusal.reason is RefusalReason.SERVICE_SHARE
    assert refusal.retry_after == 0.2
    assert shares.enter(Entry(caller='new', service='menu')) is None


def test_leaving_gives_the_share_back() -> None:
    shares = CallerShares(cfg=CFG)
    first = fill(shares, 'a', 'menu')
    for _ in range(first):
        shares.leave(Entry(caller='a', service='menu'))
    assert fill(shares, 'b', 'menu') == first
