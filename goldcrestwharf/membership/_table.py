"""Store the records of all members and the indexes over them."""

from collections import Counter, defaultdict
from collections.abc import Collection
from typing import Protocol

import anyio

from goldcrestwharf.membership._digests import Digests
from goldcrestwharf.membership._model import Member, MemberState


class Changes:
    """Counter of changes that tasks can wait on."""

    def __init__(self) -> None:
        """Start at revision zero."""
        self.revision = 0
        self._changed = anyio.Event()

    def record(self) -> None:
        """Count one change."""
        self.revision += 1
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, after: int) -> int:
        """Return the revision once it is higher than ``after``."""
        while self.revision <= after:
            await self._changed.wait()
        return self.revision


class RecordIndex(Protocol):
    """Index over the records that a table stores."""

    def add(self, record: Member) -> None:
        """Add a record that was stored."""

    def discard(self, record: Member) -> None:
        """Drop a record that was replaced or evicted."""


class LiveCounts:
    """Numbers of members per zone that are not dead.

    ``versions`` rises for a zone whenever a member's state changes there.
    """

    def __init__(self) -> None:
        """Start without any member."""
        self.versions: Counter[str] = Counter()
        self._by_zone: Counter[str] = Counter()

    def add(self, record: Member) -> None:
        """Count ``record`` unless it is dead."""
        if record.state is not MemberState.DEAD:
            self._by_zone[record.zone] += 1

    def discard(self, record: Member) -> None:
        """Stop counting ``record``."""
        if record.state is not MemberState.DEAD:
            self._by_zone[record.zone] -= 1

    def of_zone(self, zone: str) -> int:
        """Return how many members of ``zone`` are not dead."""
        return self._by_zone[zone]

    def zones(self) -> tuple[str, ...]:
        """Return the zones with a member that is not dead."""
        return tuple(zone for zone, count in self._by_zone.items() if count)


class MemberTable:
    """Table with one record for each VM.

    ``changes`` counts each stored record and wakes the tasks that wait.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.digests = Digests()
        self.live = LiveCounts()
        self.changes = Changes()
        self.indexes: list[RecordIndex] = [self.digests, self.live]
        self._by_vm: dict[str, Member] = {}
        self._by_zone: defaultdict[str, dict[str, Member]] = defaultdict(dict)
        self._died_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of records, dead ones included."""
        return len(self._by_vm)

    def get(self, vm: str) -> Member | None:
        """Return the record of ``vm``, if there is one."""
        return self._by_vm.get(vm)

    def put(self, record: Member, now: float = 0) -> None:
        """Store ``record`` in place of the earlier one of its VM.

        ``now``, in seconds, is when it died if it is dead.
        """
        previous = self._by_vm.get(record.vm)
        if previous is None or previous.state is not record.state:
            self.live.versions[record.zone] += 1
        self.remove(record.vm)
        self._by_vm[record.vm] = record
        self._by_zone[record.zone][record.vm] = record
        if record.state is MemberState.DEAD:
            self._died_at[record.vm] = now
        for index in self.indexes:
            index.add(record)
        self.changes.record()

    def remove(self, vm: str) -> None:
        """Remove the record of ``vm``, if there is one."""
        record = self._by_vm.pop(vm, None)
        if record is None:
            return
        self._by_zone[record.zone].pop(vm)
        self._died_at.pop(vm, None)
        for index in self.indexes:
            index.discard(record)

    def records(self, zone: str | None = None) -> Collection[Member]:
        """Return the records of one zone or of all, dead ones included."""
        if zone is None:
            return self._by_vm.values()
        return self._by_zone[zone].values() if zone in self._by_zone else ()

    def evict_dead(self, before: float) -> None:
        """Remove the members that died ``before`` a time in seconds."""
        for vm, died_at in tuple(self._died_at.items()):
            if died_at < before:
                self.remove(vm)
