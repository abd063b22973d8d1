"""Hold what a configuration in force means for requests."""

from goldcrestwharf.policy._history import (
    DamagedUpdateError,
    PackedUpdate,
    PolicyHistory,
    UnknownBaseError,
)
from goldcrestwharf.policy._route import RoutePolicy
from goldcrestwharf.policy._snapshot import (
    Adoption,
    PolicyHolder,
    PolicySnapshot,
)
from goldcrestwharf.policy._table import PolicyTable

__all__ = (
    'Adoption',
    'DamagedUpdateError',
    'PackedUpdate',
    'PolicyHistory',
    'PolicyHolder',
    'PolicySnapshot',
    'PolicyTable',
    'RoutePolicy',
    'UnknownBaseError',
)
