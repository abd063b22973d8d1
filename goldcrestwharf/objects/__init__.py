"""Model a complete set of named objects and the rules that it obeys."""

from goldcrestwharf.objects._model import (
    ObjectSet,
    Route,
    Service,
    TargetGroup,
)

__all__ = ('ObjectSet', 'Route', 'Service', 'TargetGroup')
