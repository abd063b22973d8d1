"""Fold the records of claims into who holds which key."""

from collections import OrderedDict

import attrs

from goldcrestwharf.limits._claim_records import (
    ClaimEnd,
    ClaimEndRecord,
    ClaimRecord,
)


@attrs.define(kw_only=True)
class ClaimEntry:
    """Hold what is known of one key.

    ``end`` is ``None`` while the holder's request runs, and ``offset`` is
    that of the latest record that counted. ``read_at`` is the local time,
    in seconds, at which the claim was read.
    """

    claim_id: str
    fingerprint: str
    offset: int
    read_at: float
    end: ClaimEnd | None = None


class ClaimIndex:
    """Follow the stream of claims; the first one of a key holds it.

    All daemons that read the same records come to the same holder. A claim
    never lapses: only its own holder can free the key, by the record that
    its request didn't run.
    """

    def __init__(self, *, capacity: int) -> None:
        """Remember up to ``capacity`` keys."""
        self._capacity = capacity
        self._entries: OrderedDict[str, ClaimEntry] = OrderedDict()
        self._complete_from = 0

    def is_complete(self, first_offset: int) -> bool:
        """Tell whether no record that the log still keeps was dropped."""
        return self._complete_from <= first_offset

    def find(self, key: str) -> ClaimEntry | None:
        """Return who holds ``key``, ``None`` if it is free."""
        entry = self._entries.get(key)
        if entry is None or entry.end is ClaimEnd.NOT_RUN:
            return None
        return entry

    def add_claim(self, record: ClaimRecord, offset: int, now: float) -> None:
        """Take in a claim; it counts if the key is free.

        A repeated record of a claim that has ended doesn't count.
        """
        entry = self._entries.get(record.key)
        if entry is not None:
            is_free = entry.end is ClaimEnd.NOT_RUN
            if not is_free or entry.claim_id == record.claim_id:
                return
        self._put(record.key, _make_entry(record, offset, now))

    def add_end(self, record: ClaimEndRecord, offset: int, now: float) -> None:
        """Take in the end of a claim, also if the claim itself is gone."""
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
            _, dropped = self._entries.popitem(last=False)
            self._complete_from = dropped.offset + 1


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
