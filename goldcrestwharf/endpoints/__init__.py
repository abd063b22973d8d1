"""Registration of the targets on the local VM.

:class:`LocalTargets` is the registry; :func:`make_routes` exposes it over
HTTP.
"""

from goldcrestwharf.endpoints._announcement import (
    Announcement,
    AnnouncementParser,
)
from goldcrestwharf.endpoints._errors import AnnouncementError, RefusalKind
from goldcrestwharf.endpoints._local import LocalTargets
from goldcrestwharf.endpoints._routes import GroupSource, make_routes
from goldcrestwharf.endpoints._settings import EndpointSettings

__all__ = (
    'Announcement',
    'AnnouncementError',
    'AnnouncementParser',
    'EndpointSettings',
    'GroupSource',
    'LocalTargets',
    'RefusalKind',
    'make_routes',
)
