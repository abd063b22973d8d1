"""The administration API of a daemon."""

from goldcrestwharf.admin._context import AdminContext
from goldcrestwharf.admin._documents import (
    DaemonReport,
    FleetReport,
    StatusDocument,
)
from goldcrestwharf.admin._fleet import register_report_handler
from goldcrestwharf.admin._routes import make_admin_routes

__all__ = (
    'AdminContext',
    'DaemonReport',
    'FleetReport',
    'StatusDocument',
    'make_admin_routes',
    'register_report_handler',
)
