"""Find the daemons of the mesh and follow the target on this VM."""

from goldcrestwharf.discovery._comparison import DirectoryComparison
from goldcrestwharf.discovery._directory import (
    FORGET_AFTER_S,
    DaemonRecord,
    Directory,
    ToldRecord,
)
from goldcrestwharf.discovery._instance import (
    BeatVerdict,
    Heartbeat,
    Instance,
    InstanceRegister,
    InstanceState,
    Leaving,
)
from goldcrestwharf.discovery._readers import (
    ReaderClaim,
    ReaderDuty,
    is_low_bandwidth_link,
)

__all__ = (
    'FORGET_AFTER_S',
    'BeatVerdict',
    'DaemonRecord',
    'Directory',
    'DirectoryComparison',
    'Heartbeat',
    'Instance',
    'InstanceRegister',
    'InstanceState',
    'Leaving',
    'ReaderClaim',
    'ReaderDuty',
    'ToldRecord',
    'is_low_bandwidth_link',
)
