"""Discovery of the mesh's daemons, and tracking of the local target."""

from goldcrestwharf.discovery._address import is_address
from goldcrestwharf.discovery._comparison import DirectoryComparison
from goldcrestwharf.discovery._departures import (
    Departures,
    TargetProcess,
    is_drain_over,
)
from goldcrestwharf.discovery._directory import (
    PEER_EXPIRY_S,
    DaemonRecord,
    Directory,
    ReportedRecord,
)
from goldcrestwharf.discovery._fetch_schedule import (
    Announcement,
    FetchSchedule,
)
from goldcrestwharf.discovery._instance import (
    Heartbeat,
    HeartbeatResult,
    Instance,
    InstanceState,
    InstanceTracker,
    LeaveNotice,
)
from goldcrestwharf.discovery._readers import (
    ReaderClaim,
    ReaderElection,
    ReaderWithdrawals,
    is_low_bandwidth_link,
)
from goldcrestwharf.discovery._store_epoch import StoreEpochs

__all__ = (
    'PEER_EXPIRY_S',
    'Announcement',
    'DaemonRecord',
    'Departures',
    'Directory',
    'DirectoryComparison',
    'FetchSchedule',
    'Heartbeat',
    'HeartbeatResult',
    'Instance',
    'InstanceState',
    'InstanceTracker',
    'LeaveNotice',
    'ReaderClaim',
    'ReaderElection',
    'ReaderWithdrawals',
    'ReportedRecord',
    'StoreEpochs',
    'TargetProcess',
    'is_address',
    'is_drain_over',
    'is_low_bandwidth_link',
)
