"""Find the differences between the records of two daemons."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeAlias

import attrs

from goldcrestwharf.membership._digests import BUCKETS, bucket_of
from goldcrestwharf.membership._messages import (
    BucketKeys,
    CompareKeys,
    KeyDifferences,
    KnownKey,
)
from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._order import (
    OrderKey,
    brings_update,
    key_of,
    rank_of,
)
from goldcrestwharf.membership._table import MemberTable

_Buckets: TypeAlias = Mapping[int, Sequence[Member]]

_ABSENT = OrderKey(-1, 0, 0)
_DEAD_RANK = rank_of(MemberState.DEAD)


def list_differing(
    table: MemberTable,
    theirs: Mapping[str, Sequence[int]],
) -> Iterator[BucketKeys]:
    """Yield the keys in ``table`` of the buckets whose digests differ."""
    for zone, digests in theirs.items():
        local = table.digests.of_buckets(zone)
        by_bucket = split_zone(table, zone)
        for bucket in range(min(BUCKETS, len(digests))):
            if local[bucket] != digests[bucket]:
                yield BucketKeys(
                    zone=zone,
                    bucket=bucket,
                    keys=tuple(_list_keys(by_bucket.get(bucket, ()))),
                )


def refresh_keys(table: MemberTable, request: CompareKeys) -> CompareKeys:
    """Return ``request`` with the current keys of ``table``."""
    buckets: list[BucketKeys] = []
    for asked in request.buckets:
        records = split_zone(table, asked.zone).get(asked.bucket, ())
        keys = tuple(_list_keys(records))
        buckets.append(attrs.evolve(asked, keys=keys))
    return attrs.evolve(request, buckets=tuple(buckets))


def split_zone(
    table: MemberTable,
    zone: str,
) -> _Buckets:
    """Return the records of ``zone`` by bucket."""
    by_bucket: defaultdict[int, list[Member]] = defaultdict(list)
    for record in table.records(zone):
        by_bucket[bucket_of(record.vm)].append(record)
    return by_bucket


def find_differences(
    table: MemberTable,
    request: CompareKeys,
    *,
    limit: int,
) -> KeyDifferences:
    """Return the records that the sender lacks and the VMs to ask it for.

    At most ``limit`` records and as many names are returned.
    """
    by_zone = _split_asked(table, request)
    records: list[Member] = []
    wanted: list[str] = []
    for asked in request.buckets:
        local = by_zone[asked.zone].get(asked.bucket, ())
        records += find_missing(local, asked.keys)
        wanted += find_wanted(table, asked.keys)
    return KeyDifferences(
        records=tuple(records[:limit]),
        wanted=tuple(wanted[:limit]),
        is_more=max(len(records), len(wanted)) > limit,
    )


def find_missing(
    local: Sequence[Member],
    keys: Sequence[KnownKey],
) -> Iterator[Member]:
    """Yield the records in ``local`` that the sender of ``keys`` lacks.

    A dead member's record is yielded only if the sender has a record of
    that member.
    """
    theirs = {key.vm: _order_key(key) for key in keys}
    for record in local:
        known = theirs.get(record.vm, _ABSENT)
        is_dead = record.state is MemberState.DEAD
        if is_dead and record.vm not in theirs:
            continue
        if brings_update(key_of(record), known):
            yield record


def find_wanted(
    table: MemberTable,
    keys: Sequence[KnownKey],
) -> Iterator[str]:
    """Yield the VMs of which the sender of ``keys`` has newer records."""
    for key in keys:
        record = table.get(key.vm)
        known = _ABSENT if record is None else key_of(record)
        is_dead = key.rank == _DEAD_RANK
        if record is None and is_dead:
            continue
        if brings_update(_order_key(key), known):
            yield key.vm


def _list_keys(records: Sequence[Member]) -> Iterator[KnownKey]:
    for record in records:
        key = key_of(record)
        yield KnownKey(
            vm=record.vm,
            incarnation=key.incarnation,
            revision=key.revision,
            rank=key.rank,
        )


def _order_key(key: KnownKey) -> OrderKey:
    return OrderKey(key.incarnation, key.revision, key.rank)


def _split_asked(
    table: MemberTable,
    request: CompareKeys,
) -> Mapping[str, _Buckets]:
    zones = {asked.zone for asked in request.buckets}
    return {zone: split_zone(table, zone) for zone in zones}
