"""Know the other daemons of the mesh."""

import hashlib

import attrs

#: Time without contact after which a daemon is forgotten, in seconds: the
#: longest partition that a daemon has to rejoin after without the store.
FORGET_AFTER_S = 600.0

#: Bytes of a digest: two directories of the sizes planned for share one by
#: chance in less than one of 10**18 cases.
_DIGEST_BYTES = 8


@attrs.frozen(kw_only=True)
class DaemonRecord:
    """Name a daemon and the address of its peer streams."""

    name: str
    address: str
    zone: str


@attrs.frozen(kw_only=True)
class ToldRecord:
    """State that a daemon was heard ``age`` seconds ago."""

    record: DaemonRecord
    age: float = 0


@attrs.define(kw_only=True)
class _Entry:
    record: DaemonRecord
    heard_at: float


class Directory:
    """Hold the daemons to keep a stream to.

    What a daemon says of itself over its own stream goes before what the
    store or another daemon says of it, since a VM may return at another
    address while both still name the old one, and the address of a VM that
    is gone may be given to another.
    """

    def __init__(self, *, own: DaemonRecord) -> None:
        """Know nobody but ``own``."""
        self.own = own
        self._entries: dict[str, _Entry] = {}
        self._most_seen = 1
        self._digest = b''

    @property
    def digest(self) -> bytes:
        """Return what tells one set of daemons from another."""
        if not self._digest:
            self._digest = _make_digest((self.own, *self.records()))
        return self._digest

    @property
    def most_seen(self) -> int:
        """Return the largest number of daemons known at once, own included.

        Shares of common budgets are cut by it, so that both sides of a
        partition together never spend more than the whole.
        """
        return self._most_seen

    def records(self) -> tuple[DaemonRecord, ...]:
        """Return all daemons known, without the own one."""
        return tuple(entry.record for entry in self._entries.values())

    def tell(self, now: float) -> tuple[ToldRecord, ...]:
        """Return all daemons known, and how long ago each was heard."""
        return tuple(
            ToldRecord(record=entry.record, age=max(now - entry.heard_at, 0))
            for entry in self._entries.values()
        )

    def find_zone(self, name: str) -> str | None:
        """Return the availability zone of a daemon, ``None`` if unknown."""
        entry = self._entries.get(name)
        return None if entry is None else entry.record.zone

    def note_heard(self, record: DaemonRecord, now: float) -> bool:
        """Take in what a daemon says of itself; tell whether it is news."""
        return self._write(record, now, is_direct=True)

    def note_told(self, told: ToldRecord, now: float) -> bool:
        """Take in what was said of a daemon; tell whether it is news.

        One that was not heard for long stays forgotten, whoever tells of it.
        """
        if told.age > FORGET_AFTER_S:
            return False
        return self._write(told.record, now - told.age, is_direct=False)

    def forget_lost(self, now: float) -> tuple[DaemonRecord, ...]:
        """Drop and return the daemons that were not heard for long."""
        lost = tuple(
            entry.record
            for entry in self._entries.values()
            if now - entry.heard_at > FORGET_AFTER_S
        )
        for record in lost:
            self._entries.pop(record.name)
            self._digest = b''
        return lost

    def _write(
        self,
        record: DaemonRecord,
        heard_at: float,
        *,
        is_direct: bool,
    ) -> bool:
        if record.name == self.own.name:
            return False
        known = self._entries.get(record.name)
        is_news = known is None or (is_direct and known.record != record)
        if is_news and not _settle_address(
            self._entries,
            record,
            is_direct=is_direct,
        ):
            return False
        if known is None or is_direct:
            self._entries[record.name] = _Entry(
                record=record,
                heard_at=heard_at,
            )
            self._most_seen = max(self._most_seen, len(self._entries) + 1)
        if is_news:
            self._digest = b''
        return is_news


def _settle_address(
    entries: dict[str, _Entry],
    record: DaemonRecord,
    *,
    is_direct: bool,
) -> bool:
    """Tell whether a daemon may be at its address.

    An address belongs to the daemon that answers there: what others say
    doesn't take it away, and whoever had it before is dropped.
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
