"""Review of a decoded configuration before it is sent.

Finds entries that can never take effect and limits that contradict each
other, and lists what differs from another version.
"""

from goldcrestwharf.review import (
    _check_limits,
    _check_routes,
    _check_services,
    _check_workspaces,
)
from goldcrestwharf.review._compare import list_changes
from goldcrestwharf.review._registry import (
    ReviewContext,
    review_configuration,
)

__all__ = ('ReviewContext', 'list_changes', 'review_configuration')

_RULE_MODULES = (
    _check_limits,
    _check_routes,
    _check_services,
    _check_workspaces,
)
