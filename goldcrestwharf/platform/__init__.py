"""Speak to the platform's append-only log.

:class:`HttpLog` is the client; :class:`MemoryLog` is the stand-in, which
:func:`serve_log` offers over HTTP.
"""

from goldcrestwharf.platform._batches import MAX_RECORD_BYTES
from goldcrestwharf.platform._client import HttpLog, open_log
from goldcrestwharf.platform._failures import (
    PlatformBusyError,
    PlatformRequestError,
)
from goldcrestwharf.platform._faults import LogFaults, LogLimits
from goldcrestwharf.platform._log import Log, LogPage, LogRecord
from goldcrestwharf.platform._memory import MemoryLog
from goldcrestwharf.platform._serving import serve_log
from goldcrestwharf.platform._settings import PlatformSettings

__all__ = (
    'MAX_RECORD_BYTES',
    'HttpLog',
    'Log',
    'LogFaults',
    'LogLimits',
    'LogPage',
    'LogRecord',
    'MemoryLog',
    'PlatformBusyError',
    'PlatformRequestError',
    'PlatformSettings',
    'open_log',
    'serve_log',
)
