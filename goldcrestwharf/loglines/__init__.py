"""Write structured log lines without ever blocking."""

from goldcrestwharf.loglines._events import EventLog
from goldcrestwharf.loglines._lines import LineHandler, set_up_lines

__all__ = ('EventLog', 'LineHandler', 'set_up_lines')
