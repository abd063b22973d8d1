"""Match requests to routes and choose targets."""

from goldcrestwharf.routing._standin import (
    Candidate,
    RouteMatch,
    RouteTable,
    TargetChooser,
    TargetKey,
    compile_routes,
)

__all__ = (
    'Candidate',
    'RouteMatch',
    'RouteTable',
    'TargetChooser',
    'TargetKey',
    'compile_routes',
)
