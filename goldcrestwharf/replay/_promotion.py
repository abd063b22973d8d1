"""Activate a replica's configuration and send the changes on."""

from goldcrestwharf.replay._acceptance import change_between
from goldcrestwharf.replay._decisions import AppliedChange
from goldcrestwharf.replay._feed import ChangeFeed
from goldcrestwharf.replay._holder import SnapshotHolder
from goldcrestwharf.replay._replica import Replica
from goldcrestwharf.replay._snapshot import Snapshot


def promote(replica: Replica, holder: SnapshotHolder, feed: ChangeFeed) -> None:
    """Offer the replica's configuration; if activated, send its changes."""
    old, new = holder.snapshot, replica.snapshot
    if new is None or not holder.offer(new):
        return
    for change in _changes_between(replica, old, new):
        feed.send(change)


def _changes_between(
    replica: Replica,
    old: Snapshot | None,
    new: Snapshot,
) -> tuple[AppliedChange, ...]:
    stored = replica.journal.changes.since(None if old is None else old.version)
    if stored:
        return stored
    return () if old is None else (change_between(old, new),)
