"""In-memory index of claims by idempotency key."""

from collections import OrderedDict

import attrs

from goldcrestwharf.limits._claim_records import (
    ClaimEnd,
    ClaimEndRecord,
    ClaimRecord,
)


@attrs.define(kw_only=True)
class ClaimEntry:
    """The claim that holds a key.

    ``end`` is ``None`` while the holder's request runs, and ``offset`` is
    that of the latest record applied to the entry. ``read_at`` is the local
    time, in seconds, at which the claim was read.
    """

    claim_id: str
    fingerprint: str
    offset: int
    read_at: float
    end: ClaimEnd | None = None


class ClaimIndex:
    """State of all keys, built from the claim stream in log order.

    The first claim of a key holds it, so all daemons that read the same
    records agree on the holder. A claim never expires: only its holder can
    release the key, by recording that its request didn't run.
    """

    def __init__(self, *, capacity: int) -> None:
        """Keep up to ``capacity`` keys, evicting the least recently updated."""
        self._capacity = capacity
        self._entries: OrderedDict[str, ClaimEntry] = OrderedDict()
        self._complete_from = 0

    def is_complete(self, first_offset: int) -> bool:
        """Return whether no record still in the log has been evicted."""
        return self._complete_from <= first_offset

    def find(self, key: str) -> ClaimEntry | None:
        """Return the claim that holds ``key``, ``None`` if it is free."""
        entry = self._entries.get(key)
        if entry is None or entry.end is ClaimEnd.NOT_RUN:
            return None
        return entry

    def add_claim(self, record: ClaimRecord, offset: int, now: float) -> None:
        """Apply a claim record; it takes the key only if the key is free.

        A duplicate record of a claim that has ended is ignored.
        """
        entry = self._entries.get(record.key)
        if entry is not None:
            is_free = entry.end is ClaimEnd.NOT_RUN
            if not is_free or entry.claim_id == record.claim_id:
                return
        self._put(record.key, _make_entry(record, offset, now))

    def add_end(self, record: ClaimEndRecord, offset: int, now: float) -> None:
        """Apply an end record, even if its claim is no longer in the log."""
        entry = self._entries.get(record.key)
        if entry is None:
            entry = _make_entry(record, offset, now)
        if entry.claim_id == record.claim_id and entry.end is None:
            entry.end = ClaimEnd(record.end)
            entry.offset = offset
            self._put(record.key, entry)

    def _put(self, key: str, entry: ClaimEntry) -> None:
        self._entries[key] = entry
        self._entries.move_to_end(key)
        if len(self._entries) > self._capacity:
            _, evicted = self._entries.popitem(last=False)
            self._complete_from = evicted.offset + 1


def _make_entry(
    record: ClaimRecord | ClaimEndRecord,
    offset: int,
    now: float,
) -> ClaimEntry:
    return ClaimEntry(
        claim_id=record.claim_id,
        fingerprint=record.fingerprint,
        offset=offset,
        read_at=now,
    )
