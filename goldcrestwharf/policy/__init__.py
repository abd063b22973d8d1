"""Hold what a configuration in force means for requests."""

from goldcrestwharf.policy._route import RoutePolicy
from goldcrestwharf.policy._snapshot import (
    Adoption,
    PolicyHolder,
    PolicySnapshot,
)
from goldcrestwharf.policy._table import PolicyTable

__all__ = (
    'Adoption',
    'PolicyHolder',
    'PolicySnapshot',
    'PolicyTable',
    'RoutePolicy',
)
