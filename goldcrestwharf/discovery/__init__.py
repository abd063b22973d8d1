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
    is_low_bandwidth_link,
)
from goldcrestwharf.discovery._store_epoch import StoreEpochs

__all__ = (
    'PEER_EXPIRY_S',
    'DaemonRecord',
    'Departures',
    'Directory',
    'DirectoryComparison',
    'Heartbeat',
    'HeartbeatResult',
    'Instance',
    'InstanceState',
    'InstanceTracker',
    'LeaveNotice',
    'ReaderClaim',
    'ReaderElection',
    'ReportedRecord',
    'StoreEpochs',
    'TargetProcess',
    'is_address',
    'is_drain_over',
    'is_low_bandwidth_link',
)
