"""Find the daemons of the mesh and follow the target on this VM."""

from goldcrestwharf.discovery._directory import (
    FORGET_AFTER_S,
    DaemonRecord,
    Directory,
)
from goldcrestwharf.discovery._instance import (
    BeatVerdict,
    Heartbeat,
    Instance,
    InstanceRegister,
    InstanceState,
    Leaving,
)

__all__ = (
    'FORGET_AFTER_S',
    'BeatVerdict',
    'DaemonRecord',
    'Directory',
    'Heartbeat',
    'Instance',
    'InstanceRegister',
    'InstanceState',
    'Leaving',
)
