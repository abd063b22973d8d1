"""Write structured log lines without ever blocking."""

from goldcrestwharf.loglines._events import EventLog
from goldcrestwharf.loglines._lines import LineHandler, set_up_lines
from goldcrestwharf.loglines._log_lines import DaemonLog
from goldcrestwharf.loglines._timeline import (
    TimelineEntry,
    find_ending,
    find_timeline,
)

__all__ = (
    'DaemonLog',
    'EventLog',
    'LineHandler',
    'TimelineEntry',
    'find_ending',
    'find_timeline',
    'set_up_lines',
)
