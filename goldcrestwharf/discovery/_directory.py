"""Directory of the other daemons of the mesh."""

import hashlib

import attrs

from goldcrestwharf.discovery._address import is_address

#: Seconds without contact after which a daemon expires: the longest partition
#: after which daemons have to reconnect without the store.
PEER_EXPIRY_S = 600.0

#: Size of a digest in bytes. At the planned mesh sizes, the probability that
#: two directories share one by chance is below 10**-18.
_DIGEST_BYTES = 8

#: Longest name of a daemon or zone, that of a key in the store.
_MAX_NAME_BYTES = 255


def _check_name(_: object, field: 'attrs.Attribute[str]', name: str) -> None:
    if not 1 <= len(name.encode()) <= _MAX_NAME_BYTES:
        raise ValueError(
            f'the {field.name} of a daemon must have 1 to'
            f' {_MAX_NAME_BYTES} bytes'
        )


def _check_address(_: object, field: object, address: str) -> None:
    if not is_address(address):
        raise ValueError('the address of a daemon must be host:port')


@attrs.frozen(kw_only=True)
class DaemonRecord:
    """Name, availability zone and peer address of a daemon.

    Raises :class:`ValueError` for what can't be used or passed on.
    """

    name: str = attrs.field(validator=_check_name)
    address: str = attrs.field(validator=_check_address)
    zone: str = attrs.field(validator=_check_name)


@attrs.frozen(kw_only=True)
class ReportedRecord:
    """Record of a daemon reported by others, last seen ``age`` seconds ago."""

    record: DaemonRecord
    age: float = 0


@attrs.define(kw_only=True)
class _Entry:
    record: DaemonRecord
    last_seen_at: float


class Directory:
    """Daemons to keep a stream to.

    Records that a daemon sends over its own stream take precedence over
    reports by the store or by other daemons. These may still have the old
    address of a VM that moved, and an address may be reused by another VM.
    """

    def __init__(self, *, local: DaemonRecord) -> None:
        """Create a directory with the record of the local daemon."""
        self.local = local
        self._entries: dict[str, _Entry] = {}
        self._max_known = 1
        self._digest = b''

    @property
    def digest(self) -> bytes:
        """Return a digest of all records, including the local one."""
        if not self._digest:
            self._digest = _make_digest((self.local, *self.records()))
        return self._digest

    @property
    def max_known(self) -> int:
        """Return the largest number of daemons known at once, plus this one.

        Common budgets are divided by it, so that both sides of a partition
        together never exceed the whole budget.
        """
        return self._max_known

    def records(self) -> tuple[DaemonRecord, ...]:
        """Return the records of the other daemons."""
        return tuple(entry.record for entry in self._entries.values())

    def list_reports(self, now: float) -> tuple[ReportedRecord, ...]:
        """Return the other daemons, with the time since the last contact."""
        return tuple(
            ReportedRecord(
                record=entry.record, age=max(now - entry.last_seen_at, 0)
            )
            for entry in self._entries.values()
        )

    def find_zone(self, name: str) -> str | None:
        """Return the availability zone of a daemon, ``None`` if unknown."""
        entry = self._entries.get(name)
        return None if entry is None else entry.record.zone

    def record_contact(self, record: DaemonRecord, now: float) -> bool:
        """Record what a daemon says about itself.

        Returns whether the daemon is new or its record changed.
        """
        return self._store(record, now, is_direct=True)

    def record_report(self, report: ReportedRecord, now: float) -> bool:
        """Record a report about a daemon; return whether it is new.

        Reports older than the expiry time are ignored, so that an expired
        daemon isn't added again by others.
        """
        if not 0 <= report.age <= PEER_EXPIRY_S:
            return False
        return self._store(report.record, now - report.age, is_direct=False)

    def expire(self, now: float) -> tuple[DaemonRecord, ...]:
        """Remove and return the expired daemons."""
        lost = tuple(
            entry.record
            for entry in self._entries.values()
            if now - entry.last_seen_at > PEER_EXPIRY_S
        )
        for record in lost:
            self._entries.pop(record.name)
            self._digest = b''
        return lost

    def _store(
        self,
        record: DaemonRecord,
        last_seen_at: float,
        *,
        is_direct: bool,
    ) -> bool:
        if record.name == self.local.name:
            return False
        known = self._entries.get(record.name)
        is_new = known is None or (is_direct and known.record != record)
        if is_new and not _claim_address(
            self._entries,
            record,
            is_direct=is_direct,
        ):
            return False
        if known is None or is_direct:
            self._entries[record.name] = _Entry(
                record=record,
                last_seen_at=last_seen_at,
            )
            self._max_known = max(self._max_known, len(self._entries) + 1)
        if is_new:
            self._digest = b''
        return is_new


def _claim_address(
    entries: dict[str, _Entry],
    record: DaemonRecord,
    *,
    is_direct: bool,
) -> bool:
    """Return whether a record may be stored with its address.

    An address belongs to the daemon that answers there. Reports don't move
    it to another daemon; a direct contact removes its previous owner.
    """
    others = [
        entry.record.name
        for entry in entries.values()
        if entry.record.address == record.address
        and entry.record.name != record.name
    ]
    if others and not is_direct:
        return False
    for name in others:
        entries.pop(name)
    return True


def _make_digest(records: tuple[DaemonRecord, ...]) -> bytes:
    lines = sorted(' '.join(attrs.astuple(one)) for one in records)
    listed = '\n'.join(lines)
    return hashlib.blake2b(
        listed.encode(),
        digest_size=_DIGEST_BYTES,
    ).digest()
