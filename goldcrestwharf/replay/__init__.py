"""Derive the active configuration from the records of the log."""

from goldcrestwharf.replay._acceptance import (
    FIRST_EPOCH,
    change_between,
    evaluate_change,
    pack_snapshot,
    unpack_snapshot,
)
from goldcrestwharf.replay._changes import ChangeHistory
from goldcrestwharf.replay._checkpoints import (
    Checkpointer,
    CheckpointPolicy,
    make_checkpoint,
)
from goldcrestwharf.replay._decisions import (
    Accepted,
    AppliedChange,
    Decision,
    EvaluationResult,
    Refusal,
    RefusalReason,
)
from goldcrestwharf.replay._envelope import (
    SkipReason,
    pack_record,
    unpack_record,
)
from goldcrestwharf.replay._feed import ChangeFeed
from goldcrestwharf.replay._follower import FollowerStatus, LogFollower
from goldcrestwharf.replay._holder import SnapshotHolder
from goldcrestwharf.replay._records import (
    CONFIG_STREAM,
    Checkpoint,
    EpochStart,
    Origin,
    PackedSnapshot,
    Publish,
    Record,
)
from goldcrestwharf.replay._replica import Replica
from goldcrestwharf.replay._settings import ReplaySettings
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._state import ReplicaState
from goldcrestwharf.replay._status import (
    ReplicaStatus,
    SkippedRecords,
    report_replica,
)
from goldcrestwharf.replay._version import Version

__all__ = (
    'CONFIG_STREAM',
    'FIRST_EPOCH',
    'Accepted',
    'AppliedChange',
    'ChangeFeed',
    'ChangeHistory',
    'Checkpoint',
    'CheckpointPolicy',
    'Checkpointer',
    'Decision',
    'EpochStart',
    'EvaluationResult',
    'FollowerStatus',
    'LogFollower',
    'Origin',
    'PackedSnapshot',
    'Publish',
    'Record',
    'Refusal',
    'RefusalReason',
    'ReplaySettings',
    'Replica',
    'ReplicaState',
    'ReplicaStatus',
    'SkipReason',
    'SkippedRecords',
    'Snapshot',
    'SnapshotHolder',
    'Version',
    'change_between',
    'evaluate_change',
    'make_checkpoint',
    'pack_record',
    'pack_snapshot',
    'report_replica',
    'unpack_record',
    'unpack_snapshot',
)
