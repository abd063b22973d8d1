"""Put what a replica holds into force and pass the changes on."""

from goldcrestwharf.replay._acceptance import change_between
from goldcrestwharf.replay._decisions import AppliedChange
from goldcrestwharf.replay._feed import ChangeFeed
from goldcrestwharf.replay._holder import Holder
from goldcrestwharf.replay._replica import Replica
from goldcrestwharf.replay._snapshot import Snapshot


def promote(replica: Replica, holder: Holder, feed: ChangeFeed) -> None:
    """Offer the replica's configuration; send the changes if it is run."""
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
    kept = replica.journal.changes.since(None if old is None else old.version)
    if kept:
        return kept
    return () if old is None else (change_between(old, new),)
