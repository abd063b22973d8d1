"""Structured logging that never blocks, and timelines read from the logs."""

from goldcrestwharf.loglines._events import EventLog
from goldcrestwharf.loglines._lines import LineHandler, set_up_json_log
from goldcrestwharf.loglines._log_lines import DaemonLog
from goldcrestwharf.loglines._timeline import (
    TimelineEntry,
    find_final_event,
    find_timeline,
)

__all__ = (
    'DaemonLog',
    'EventLog',
    'LineHandler',
    'TimelineEntry',
    'find_final_event',
    'find_timeline',
    'set_up_json_log',
)
