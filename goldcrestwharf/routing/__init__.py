"""Route matching and load balancing over targets."""

from goldcrestwharf.limits import TargetLoad
from goldcrestwharf.routing._chooser import TargetChooser
from goldcrestwharf.routing._errors import DanglingReferenceError
from goldcrestwharf.routing._model import (
    Candidate,
    OutcomeKind,
    TargetKey,
    TargetOutcome,
)
from goldcrestwharf.routing._settings import RoutingSettings
from goldcrestwharf.routing._split import choose_group
from goldcrestwharf.routing._table import (
    RouteMatch,
    RouteTable,
    compile_routes,
)

__all__ = (
    'Candidate',
    'DanglingReferenceError',
    'OutcomeKind',
    'RouteMatch',
    'RouteTable',
    'RoutingSettings',
    'TargetChooser',
    'TargetKey',
    'TargetLoad',
    'TargetOutcome',
    'choose_group',
    'compile_routes',
)
