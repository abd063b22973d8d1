"""Check who reads from the store, without a network."""

from collections.abc import Iterable

import attrs
import pytest

from goldcrestwharf.discovery import ReaderClaim, ReaderDuty

WIDE = 125_000_000
NARROW = 625_000
STEP_S = 0.1

#: Seconds in which a change has to be in force where links are narrow.
APPLY_S = 2.5


@attrs.define(kw_only=True)
class Zone:
    """Let the daemons of a zone decide, each by what it hears of others."""

    links: dict[str, float]
    now: float = 0
    reading: set[str] = attrs.field(factory=set)
    duties: dict[str, ReaderDuty] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for name, rate in self.links.items():
            self.duties[name] = ReaderDuty(
                name=name,
                link_rate=rate,
                clock=self._clock,
            )

    def step(self, lost: Iterable[str] = ()) -> int:
        """Return how many read; those in ``lost`` don't reach the store."""
        self.now += STEP_S
        claims = {
            name: ReaderClaim(
                name=name,
                link_rate=rate,
                reads=name in self.reading,
            )
            for name, rate in self.links.items()
        }
        due = {
            name
            for name, duty in self.duties.items()
            if duty.is_due(
                claim for other, claim in claims.items() if other != name
            )
        }
        self.reading = due - set(lost)
        for name, duty in self.duties.items():
            duty.has_contact = name in self.reading
        return len(due)

    def settle(self, seconds: float, lost: Iterable[str] = ()) -> int:
        """Return the most that read at once in some seconds."""
        steps = round(seconds / STEP_S)
        return max(self.step(lost) for _ in range(steps))

    def _clock(self) -> float:
        return self.now


def make_zone(wide: int, narrow: int) -> Zone:
    links: dict[str, float] = {f'w-{one}': WIDE for one in range(wide)}
    return Zone(links=links | {f'n-{one}': NARROW for one in range(narrow)})


@pytest.mark.parametrize(
    ('wide', 'narrow', 'readers'),
    [(0, 1, 1), (0, 15, 2), (1, 15, 2), (2, 15, 2), (4, 0, 4), (30, 50, 4)],
)
def test_few_of_a_zone_read(wide: int, narrow: int, readers: int) -> None:
    zone = make_zone(wide, narrow)
    zone.settle(APPLY_S)
    assert len(zone.reading) == readers


def test_wide_links_read_before_narrow_ones() -> None:
    zone = make_zone(2, 15)
    zone.settle(APPLY_S)
    assert zone.reading == {'w-0', 'w-1'}


def test_others_read_soon_once_the_readers_lose_the_store() -> None:
    zone = make_zone(2, 15)
    zone.settle(APPLY_S)
    zone.settle(APPLY_S, lost=['w-0', 'w-1'])
    assert len(zone.reading) == 2
    assert all(name.startswith('n-') for name in zone.reading)


def test_readers_that_connect_anew_keep_the_duty() -> None:
    """The store cuts all connections at once, as when it drops history."""
    zone = make_zone(2, 15)
    zone.settle(APPLY_S)
    assert zone.settle(0.5, lost=['w-0', 'w-1']) == 2
    zone.settle(0.5)
    assert zone.reading == {'w-0', 'w-1'}


def test_narrow_links_never_all_read_at_once() -> None:
    """A configuration for each of them would fill all links of the zone."""
    zone = make_zone(2, 15)
    zone.settle(APPLY_S)
    assert zone.settle(10, lost=['w-0', 'w-1']) <= 2 + 4


def test_narrow_link_waits_for_others_after_its_start() -> None:
    zone = make_zone(0, 1)
    assert not zone.settle(0.5)
    assert zone.settle(1)
