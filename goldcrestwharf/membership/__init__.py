"""Track the daemons of the mesh and the targets on their VMs.

A daemon runs one :class:`MembershipService`; the other packages read its
:class:`MembershipView` and its :class:`RoleAssignment`.
"""

from goldcrestwharf.membership._core import MembershipContext
from goldcrestwharf.membership._datagrams import (
    Datagram,
    Datagrams,
    UdpDatagrams,
    open_udp,
)
from goldcrestwharf.membership._fleet import (
    FleetSummary,
    VersionCount,
    ZoneSummary,
)
from goldcrestwharf.membership._model import (
    Member,
    MembershipView,
    MemberState,
    Target,
    TargetState,
)
from goldcrestwharf.membership._roles import RoleAssignment
from goldcrestwharf.membership._seeds import (
    BeaconSeeds,
    CombinedSeeds,
    SeedSource,
    StaticSeeds,
)
from goldcrestwharf.membership._service import MembershipService
from goldcrestwharf.membership._settings import MembershipSettings
from goldcrestwharf.membership._view import LiveView

__all__ = (
    'BeaconSeeds',
    'CombinedSeeds',
    'Datagram',
    'Datagrams',
    'FleetSummary',
    'LiveView',
    'Member',
    'MemberState',
    'MembershipContext',
    'MembershipService',
    'MembershipSettings',
    'MembershipView',
    'RoleAssignment',
    'SeedSource',
    'StaticSeeds',
    'Target',
    'TargetState',
    'UdpDatagrams',
    'VersionCount',
    'ZoneSummary',
    'open_udp',
)
