"""Test which daemons of a zone read from the store."""

from collections.abc import Iterable

import attrs
import pytest

from goldcrestwharf.discovery import (
    ReaderClaim,
    ReaderElection,
    ReaderWithdrawals,
)

HIGH_BANDWIDTH = 125_000_000
LOW_BANDWIDTH = 625_000
STEP_S = 0.1

#: Seconds in which a change has to be active on low-bandwidth links.
APPLY_S = 2.5


@attrs.define(kw_only=True)
class Zone:
    """Simulated zone, in which each daemon sees the claims of the others."""

    links: dict[str, float]
    now: float = 0
    reading: set[str] = attrs.field(factory=set)
    elections: dict[str, ReaderElection] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for name, rate in self.links.items():
            self.elections[name] = ReaderElection(
                name=name,
                link_rate=rate,
                clock=self._clock,
            )

    def step(self, lost: Iterable[str] = ()) -> int:
        """Return the number of elected daemons; ``lost`` ones have no store."""
        self.now += STEP_S
        claims = {
            name: ReaderClaim(
                name=name,
                link_rate=rate,
                reads=name in self.reading,
            )
            for name, rate in self.links.items()
        }
        elected = {
            name
            for name, election in self.elections.items()
            if election.should_read(
                claim for other, claim in claims.items() if other != name
            )
        }
        self.reading = elected - set(lost)
        for name, election in self.elections.items():
            election.has_contact = name in self.reading
        return len(elected)

    def settle(self, seconds: float, lost: Iterable[str] = ()) -> int:
        """Return the largest number of elected daemons in some seconds."""
        steps = round(seconds / STEP_S)
        return max(self.step(lost) for _ in range(steps))

    def _clock(self) -> float:
        return self.now


def make_zone(high: int, low: int) -> Zone:
    links: dict[str, float] = {
        f'w-{one}': HIGH_BANDWIDTH for one in range(high)
    }
    return Zone(links=links | {f'n-{one}': LOW_BANDWIDTH for one in range(low)})


@pytest.mark.parametrize(
    ('high', 'low', 'readers'),
    [(0, 1, 1), (0, 15, 2), (1, 15, 2), (2, 15, 2), (4, 0, 4), (30, 50, 4)],
)
def test_number_of_readers_of_a_zone_is_limited(
    high: int, low: int, readers: int
) -> None:
    zone = make_zone(high, low)
    zone.settle(APPLY_S)
    assert len(zone.reading) == readers


def test_daemons_with_high_bandwidth_links_are_elected_first() -> None:
    zone = make_zone(2, 15)
    zone.settle(APPLY_S)
    assert zone.reading == {'w-0', 'w-1'}


def test_others_take_over_when_the_readers_lose_the_store() -> None:
    zone = make_zone(2, 15)
    zone.settle(APPLY_S)
    zone.settle(APPLY_S, lost=['w-0', 'w-1'])
    assert len(zone.reading) == 2
    assert all(name.startswith('n-') for name in zone.reading)


def test_readers_that_reconnect_soon_stay_elected() -> None:
    """The store closes all connections at once when it drops old records."""
    zone = make_zone(2, 15)
    zone.settle(APPLY_S)
    assert zone.settle(0.5, lost=['w-0', 'w-1']) == 2
    zone.settle(0.5)
    assert zone.reading == {'w-0', 'w-1'}


def test_few_low_bandwidth_links_read_during_a_takeover() -> None:
    """One configuration for each of them would fill all links of the zone."""
    zone = make_zone(2, 15)
    zone.settle(APPLY_S)
    assert zone.settle(10, lost=['w-0', 'w-1']) <= 2 + 4


def test_low_bandwidth_link_waits_for_others_after_its_start() -> None:
    zone = make_zone(0, 1)
    assert not zone.settle(0.5)
    assert zone.settle(1)


@pytest.mark.parametrize('count', [1, 14, 79, 194, 770])
def test_one_reader_of_a_zone_leads_also_after_the_first_lost_the_store(
    count: int,
) -> None:
    zone = make_zone(count, 0)
    zone.settle(0.5)
    lead = find_leads(zone)
    assert len(lead) == 1
    zone.settle(0.5, lost=lead)
    leads_after = find_leads(zone)
    assert len(leads_after) <= 1
    assert count == 1 or leads_after != lead


def find_leads(zone: Zone) -> set[str]:
    return {name for name in zone.reading if zone.elections[name].is_lead}


def test_only_a_reader_that_still_runs_is_noticed_as_withdrawn() -> None:
    withdrawals = ReaderWithdrawals()

    def notice(**reads: bool) -> bool:
        return withdrawals.notice(
            ReaderClaim(name=name, link_rate=HIGH_BANDWIDTH, reads=has_contact)
            for name, has_contact in reads.items()
        )

    assert not notice(a=True, b=True, c=False)
    assert not notice(b=True)
    assert notice(b=False)
    assert not notice(b=False)


def test_claims_of_a_zone_are_in_doubt_if_a_withdrawal_leaves_too_few() -> None:
    zone = make_zone(2, 1)
    zone.settle(APPLY_S)
    election = zone.elections['n-0']
    election.doubt_readers()
    assert not election.is_zone_without_reader
    zone.step(lost=['w-0'])
    zone.step(lost=['w-0'])
    election.doubt_readers()
    assert election.is_zone_without_reader
    zone.settle(2 * APPLY_S)
    assert not election.is_zone_without_reader


@pytest.mark.parametrize('is_suspect', [True, False])
def test_suspect_reader_keeps_its_rank_but_is_not_relied_on(
    is_suspect: bool,
) -> None:
    election = ReaderElection(name='n-0', link_rate=LOW_BANDWIDTH, clock=float)
    claims = [
        ReaderClaim(name=name, link_rate=HIGH_BANDWIDTH, is_suspect=is_suspect)
        for name in ('w-0', 'w-1')
    ]
    assert not election.should_read(claims)
    assert not election.is_lead
    assert election.is_zone_without_reader is is_suspect
