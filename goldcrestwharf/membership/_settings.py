"""Define the settings of the membership."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Intervals and limits of probes, gossip and comparisons."""

    period_ms: int = integer(
        1000,
        summary='time between two probes that a daemon makes',
        unit='ms',
        low=20,
        high=60_000,
    )
    ack_timeout_ms: int = integer(
        300,
        summary='time allowed for the answer to a direct probe',
        unit='ms',
        low=5,
        high=30_000,
    )
    relays: int = integer(
        3,
        summary='members asked for an indirect probe of a silent one',
        low=0,
        high=20,
    )
    suspicion_factor: int = integer(
        4,
        summary='periods, times log10 of the zone, until a suspect is dead',
        low=1,
        high=100,
    )
    gossip_factor: int = integer(
        4,
        summary='times, times log10 of the zone, that a change is sent',
        low=1,
        high=100,
    )
    gossip_ms: int = integer(
        200,
        summary='time between two rounds of gossip while there are changes',
        unit='ms',
        low=10,
        high=60_000,
    )
    gossip_fanout: int = integer(
        3,
        summary='members that get the changes in one round',
        low=1,
        high=20,
    )
    gossip_queue: int = integer(
        2000,
        summary='changes queued for gossip; comparisons replace the dropped',
        low=10,
        high=100_000,
    )
    datagram_bytes: int = integer(
        1200,
        summary='greatest size of a datagram',
        unit='bytes',
        low=400,
        high=8000,
    )
    cut_off_percent: int = integer(
        40,
        summary='suspected part of the zone from which on it is cut off',
        unit='%',
        low=5,
        high=100,
    )
    sync_ms: int = integer(
        10_000,
        summary='time between two full comparisons with a random member',
        unit='ms',
        low=100,
        high=600_000,
    )
    sync_partners: int = integer(
        5,
        summary='members of the zone that a daemon compares itself with',
        low=1,
        high=50,
    )
    sync_soon_ms: int = integer(
        1000,
        summary='time until the next one if a comparison found differences',
        unit='ms',
        low=50,
        high=600_000,
    )
    sync_timeout_ms: int = integer(
        5000,
        summary='time allowed for one message of a comparison',
        unit='ms',
        low=50,
        high=60_000,
    )
    sync_records: int = integer(
        500,
        summary='records sent in one message',
        low=1,
        high=10_000,
    )
    sync_records_per_s: int = integer(
        4000,
        summary='records sent to all peers together in one second',
        low=10,
        high=1_000_000,
    )
    bridge_ms: int = integer(
        1000,
        summary='time between two comparisons with another zone',
        unit='ms',
        low=50,
        high=600_000,
    )
    bridges: int = integer(
        2,
        summary='daemons of a zone that compare with one other zone',
        low=1,
        high=10,
    )
    zone_stale_ms: int = integer(
        5000,
        summary='time without contact after which a zone is unreachable',
        unit='ms',
        low=100,
        high=3_600_000,
    )
    tombstone_ms: int = integer(
        21_600_000,
        summary='time for which the record of a dead member is kept',
        unit='ms',
        low=1000,
        high=604_800_000,
    )
    witnesses: int = integer(
        3,
        summary='members that store the version a daemon has run',
        low=1,
        high=20,
    )
    join_backoff_ms: int = integer(
        200,
        summary='bound of the first wait between two attempts to join',
        unit='ms',
        low=1,
        high=60_000,
    )
    join_backoff_cap_ms: int = integer(
        10_000,
        summary='greatest bound of such a wait',
        unit='ms',
        low=1,
        high=600_000,
    )
    beacon_ms: int = integer(
        600_000,
        summary='time between two beacon records of a zone',
        unit='ms',
        low=100,
        high=86_400_000,
    )
    max_members: int = integer(
        50_000,
        summary='records kept for the whole mesh',
        low=10,
        high=1_000_000,
    )
