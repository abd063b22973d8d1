"""Notices of a target about itself in the headers of its answers."""

import math

import attrs

from goldcrestwharf.http1 import Response
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._header_names import HeaderNames

_log = EventLog(__name__)

_LEAVING = b'1'


@attrs.frozen(kw_only=True)
class TargetNotices:
    """Limit of a target in requests per second, and whether it will stop.

    The limit applies to all daemons together; ``None`` means no limit.
    """

    limit: float | None = None
    is_leaving: bool = False


def read_notices(response: Response, names: HeaderNames) -> TargetNotices:
    """Return the notices in an answer; ``names`` are in lower case."""
    leaving = response.find(names.leaving)
    return TargetNotices(
        limit=_read_limit(response.find(names.limit)),
        is_leaving=leaving is not None and leaving.strip() == _LEAVING,
    )


def _read_limit(written: bytes | None) -> float | None:
    if written is None:
        return None
    try:
        limit = float(written)
    except ValueError:
        limit = math.nan
    if math.isfinite(limit) and limit >= 0:
        return limit
    _log.warning('target.limit_unreadable', written=repr(written))
    return None
