"""Keep digests of records, updated incrementally with each change.

Each zone has a fixed number of buckets. A bucket's digest is the XOR of the
64-bit hashes of its records, so that adding and removing a record costs the
same, whatever the size of the zone.
"""

import hashlib
import zlib
from collections import defaultdict
from collections.abc import Iterable, Mapping

from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._order import key_of

BUCKETS = 32
_HASH_BYTES = 8
_MASK = 0xFFFFFFFFFFFFFFFF


def bucket_of(vm: str) -> int:
    """Return the number of the bucket that a member belongs to."""
    return zlib.crc32(vm.encode()) % BUCKETS


def hash_record(record: Member) -> int:
    """Return 64 bits that change with the order key of ``record``."""
    key = key_of(record)
    named = f'{record.vm}|{key.incarnation}|{key.revision}|{key.rank}'
    digest = hashlib.blake2b(named.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), 'big')


class Digests:
    """Digests of the records of all zones.

    Dead members are left out: daemons evict them at different times, and
    such a difference needs no synchronization.
    """

    def __init__(self) -> None:
        """Start without any record."""
        self._buckets: defaultdict[str, list[int]] = defaultdict(_make_buckets)

    def add(self, record: Member) -> None:
        """Add ``record`` to its bucket's digest."""
        if record.state is not MemberState.DEAD:
            bucket = bucket_of(record.vm)
            self._buckets[record.zone][bucket] ^= hash_record(record)

    def discard(self, record: Member) -> None:
        """Remove ``record`` again; XOR is its own inverse."""
        self.add(record)

    def of_zones(self, zones: Iterable[str]) -> Mapping[str, int]:
        """Return one digest for each of ``zones``."""
        return {zone: _combine(self.of_buckets(zone)) for zone in zones}

    def of_buckets(self, zone: str) -> tuple[int, ...]:
        """Return the digests of the buckets of ``zone``."""
        return tuple(self._buckets.get(zone) or _make_buckets())


def _make_buckets() -> list[int]:
    return [0 for _ in range(BUCKETS)]


def _combine(digests: Iterable[int]) -> int:
    # Each digest is multiplied by a factor of its position, since with XOR
    # alone two equal digests in different buckets would cancel out.
    combined = 0
    for position, digest in enumerate(digests):
        combined ^= (digest * (2 * position + 1)) & _MASK
    return combined
