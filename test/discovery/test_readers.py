"""Check who reads from the store, without a network."""

from collections.abc import Iterable

import pytest

from goldcrestwharf.discovery import ReaderClaim, ReaderDuty

WIDE = 125_000_000
NARROW = 625_000
PATIENCE_S = 1.0


def make_duty(name: str, link_rate: float, now: float = 10) -> ReaderDuty:
    start = iter((0,))
    return ReaderDuty(
        name=name,
        link_rate=link_rate,
        clock=lambda: next(start, now),
    )


def find_readers(links: dict[str, float], lost: Iterable[str] = ()) -> set[str]:
    """Return who reads once all know of each other's claims."""
    duties = {name: make_duty(name, rate) for name, rate in links.items()}
    reading = set(links) - set(lost)
    for _ in range(5):
        reading = {
            name
            for name, duty in duties.items()
            if duty.is_due(
                ReaderClaim(name=other, link_rate=links[other])
                for other in reading - set(lost) - {name}
            )
        }
    return reading - set(lost)


def make_zone(wide: int, narrow: int) -> dict[str, float]:
    links: dict[str, float] = {f'w-{one}': WIDE for one in range(wide)}
    return links | {f'n-{one}': NARROW for one in range(narrow)}


@pytest.mark.parametrize(
    ('wide', 'narrow', 'readers'),
    [(0, 1, 1), (0, 15, 2), (1, 15, 2), (2, 15, 2), (4, 0, 4), (30, 50, 4)],
)
def test_few_of_a_zone_read(wide: int, narrow: int, readers: int) -> None:
    assert len(find_readers(make_zone(wide, narrow))) == readers


def test_wide_links_read_before_narrow_ones() -> None:
    assert find_readers(make_zone(2, 15)) == {'w-0', 'w-1'}


def test_others_read_once_the_readers_lose_the_store() -> None:
    found = find_readers(make_zone(2, 15), lost=['w-0', 'w-1'])
    assert len(found) == 2
    assert all(name.startswith('n-') for name in found)


def test_narrow_link_waits_for_others_after_its_start() -> None:
    assert not make_duty('n', NARROW, now=PATIENCE_S / 2).is_due([])
    assert make_duty('n', NARROW, now=PATIENCE_S * 2).is_due([])
    assert make_duty('w', WIDE, now=0).is_due([])
