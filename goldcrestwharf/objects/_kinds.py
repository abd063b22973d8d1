"""List the kinds of objects, for code that treats all kinds alike."""

from collections.abc import Mapping
from typing import Any

import attrs

from goldcrestwharf.objects._model import (
    ObjectSet,
    Route,
    Service,
    TargetGroup,
)

AnyObject = TargetGroup | Service | Route


@attrs.frozen(kw_only=True)
class Kind:
    """Name a kind: ``key`` is its field in a set, ``word`` is for people."""

    key: str
    word: str

    def of(self, objects: ObjectSet) -> Mapping[str, AnyObject]:
        """Return the objects of this kind by name."""
        named: Mapping[str, AnyObject] = getattr(objects, self.key)
        return named


TARGET_GROUPS = Kind(key='target_groups', word='target group')
SERVICES = Kind(key='services', word='service')
ROUTES = Kind(key='routes', word='route')

KINDS = (TARGET_GROUPS, SERVICES, ROUTES)


def set_of(named_by_key: Mapping[str, Mapping[str, Any]]) -> ObjectSet:
    """Return the set that has these objects, by the key of their kind."""
    return ObjectSet(**named_by_key)
