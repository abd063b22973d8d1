"""Request policies: the decoded form of the active configuration."""

from goldcrestwharf.policy._history import (
    CorruptUpdateError,
    PackedUpdate,
    PolicyHistory,
    UnknownBaseError,
)
from goldcrestwharf.policy._route import RoutePolicy
from goldcrestwharf.policy._snapshot import (
    OfferResult,
    PolicyHolder,
    PolicySnapshot,
)
from goldcrestwharf.policy._table import PolicyTable

__all__ = (
    'CorruptUpdateError',
    'OfferResult',
    'PackedUpdate',
    'PolicyHistory',
    'PolicyHolder',
    'PolicySnapshot',
    'PolicyTable',
    'RoutePolicy',
    'UnknownBaseError',
)
