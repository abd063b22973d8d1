"""Report the status of a replica."""

import attrs

from goldcrestwharf.replay._envelope import SkipReason
from goldcrestwharf.replay._replica import Replica
from goldcrestwharf.replay._state import ReplicaState
from goldcrestwharf.replay._version import Version


@attrs.frozen(kw_only=True)
class SkippedRecords:
    """The numbers of records that this release can't use."""

    corrupt: int
    foreign: int
    unknown: int


@attrs.frozen(kw_only=True)
class ReplicaStatus:
    """The status of a replica.

    ``position`` is the offset to read next, ``lag`` the number of records of
    the log that were not read yet, ``halt_reason`` the reason for a halt.
    """

    state: ReplicaState
    version: Version | None
    position: int
    lag: int
    skipped: SkippedRecords
    halt_reason: str = ''


def report_replica(replica: Replica) -> ReplicaStatus:
    """Return the status of ``replica``."""
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
        halt_reason=replica.halt_reason,
    )
