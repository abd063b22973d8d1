"""Know the other daemons of the mesh."""

import attrs

#: Time without contact after which a daemon is forgotten, in seconds: the
#: longest partition that a daemon has to rejoin after without the store.
FORGET_AFTER_S = 600.0


@attrs.frozen(kw_only=True)
class DaemonRecord:
    """Name a daemon and the address of its peer streams."""

    name: str
    address: str
    zone: str


@attrs.define(kw_only=True)
class _Entry:
    record: DaemonRecord
    heard_at: float


class Directory:
    """Hold the daemons to keep a stream to.

    What a daemon says of itself over its own stream goes before what the
    store or another daemon says of it, since a VM may return at another
    address while both still name the old one.
    """

    def __init__(self, *, own: DaemonRecord) -> None:
        """Know nobody but ``own``."""
        self.own = own
        self._entries: dict[str, _Entry] = {}
        self._most_seen = 1

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

    def note_heard(self, record: DaemonRecord, now: float) -> bool:
        """Take in what a daemon says of itself; tell whether it is news."""
        return self._write(record, now, is_direct=True)

    def note_told(self, record: DaemonRecord, now: float) -> bool:
        """Take in what was said of a daemon; tell whether it is news."""
        return self._write(record, now, is_direct=False)

    def forget_lost(self, now: float) -> tuple[DaemonRecord, ...]:
        """Drop and return the daemons that were not heard for long."""
        lost = tuple(
            entry.record
            for entry in self._entries.values()
            if now - entry.heard_at > FORGET_AFTER_S
        )
        for record in lost:
            self._entries.pop(record.name)
        return lost

    def _write(
        self,
        record: DaemonRecord,
        now: float,
        *,
        is_direct: bool,
    ) -> bool:
        if record.name == self.own.name:
            return False
        known = self._entries.get(record.name)
        if known is None or is_direct:
            self._entries[record.name] = _Entry(record=record, heard_at=now)
            self._most_seen = max(self._most_seen, len(self._entries) + 1)
        return known is None or (is_direct and known.record != record)
