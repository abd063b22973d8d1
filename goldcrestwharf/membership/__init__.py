"""Know the daemons of the mesh and the targets on their VMs."""

from goldcrestwharf.membership._model import (
    Member,
    MembershipView,
    MemberState,
    Target,
    TargetState,
)

__all__ = (
    'Member',
    'MemberState',
    'MembershipView',
    'Target',
    'TargetState',
)
