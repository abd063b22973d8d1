"""Roll-outs: orders that move a service to another version of its software."""

from goldcrestwharf.rollouts._book import TargetReport
from goldcrestwharf.rollouts._controller import (
    Decision,
    FleetView,
    RolloutController,
)
from goldcrestwharf.rollouts._election import Member, elect_controller
from goldcrestwharf.rollouts._evidence import (
    Evidence,
    EvidenceCounter,
    RouteEvidence,
)
from goldcrestwharf.rollouts._fault_tests import Fault
from goldcrestwharf.rollouts._judge import Finding, judge
from goldcrestwharf.rollouts._order import (
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutTerms,
)
from goldcrestwharf.rollouts._registry import VersionRegistry
from goldcrestwharf.rollouts._share import VersionShare
from goldcrestwharf.rollouts._table import MAX_LEASE_S, RolloutTable

__all__ = (
    'MAX_LEASE_S',
    'Decision',
    'Evidence',
    'EvidenceCounter',
    'Fault',
    'Finding',
    'FleetView',
    'Member',
    'Phase',
    'RolloutController',
    'RolloutOrder',
    'RolloutState',
    'RolloutStatus',
    'RolloutTable',
    'RolloutTerms',
    'RouteEvidence',
    'TargetReport',
    'VersionRegistry',
    'VersionShare',
    'elect_controller',
    'judge',
)
