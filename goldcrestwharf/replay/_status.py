"""Report how a replica stands to the log."""

import attrs

from goldcrestwharf.replay._envelope import SkipReason
from goldcrestwharf.replay._replica import Replica
from goldcrestwharf.replay._state import ReplicaState
from goldcrestwharf.replay._version import Version


@attrs.frozen(kw_only=True)
class SkippedRecords:
    """Count the records without a meaning to this release."""

    corrupt: int
    foreign: int
    unknown: int


@attrs.frozen(kw_only=True)
class ReplicaStatus:
    """Hold the state of a replica.

    ``position`` is the offset to read next, ``lag`` the number of records
    of the log that were not read yet, ``halt`` the reason for a halt.
    """

    state: ReplicaState
    version: Version | None
    position: int
    lag: int
    skipped: SkippedRecords
    halt: str = ''


def report_replica(replica: Replica) -> ReplicaStatus:
    """Return how ``replica`` stands to the log."""
    skipped = replica.journal.skipped
    snapshot = replica.snapshot
    position = replica.cursor.position
    return ReplicaStatus(
        state=replica.state,
        version=None if snapshot is None else snapshot.version,
        position=position,
        lag=max(replica.end_offset - position, 0),
        skipped=SkippedRecords(
            corrupt=skipped[SkipReason.CORRUPT],
            foreign=skipped[SkipReason.FOREIGN],
            unknown=skipped[SkipReason.UNKNOWN],
        ),
        halt=replica.halt,
    )
