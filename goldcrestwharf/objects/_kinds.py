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
    """A kind of objects: ``key`` is its field in a set, ``word`` its label."""

    key: str
    word: str

    def of(self, objects: ObjectSet) -> Mapping[str, AnyObject]:
        """Return the objects of this kind by name."""
        objects_by_name: Mapping[str, AnyObject] = getattr(objects, self.key)
        return objects_by_name


TARGET_GROUPS = Kind(key='target_groups', word='target group')
SERVICES = Kind(key='services', word='service')
ROUTES = Kind(key='routes', word='route')

KINDS = (TARGET_GROUPS, SERVICES, ROUTES)


def make_set(named_by_key: Mapping[str, Mapping[str, Any]]) -> ObjectSet:
    """Return the set of these objects, given by the key of their kind."""
    return ObjectSet(**named_by_key)
