"""Client of the platform's append-only log.

:class:`HttpLog` is the client; :class:`MemoryLog` is an in-memory
implementation, which :func:`serve_log` serves over HTTP.
"""

from goldcrestwharf.log._batches import MAX_RECORD_BYTES
from goldcrestwharf.log._client import HttpLog, open_log
from goldcrestwharf.log._failures import (
    PlatformBusyError,
    PlatformRequestError,
)
from goldcrestwharf.log._faults import LogFaults, LogLimits
from goldcrestwharf.log._log import Log, LogPage, LogRecord
from goldcrestwharf.log._memory import MemoryLog
from goldcrestwharf.log._serving import serve_log
from goldcrestwharf.log._settings import PlatformSettings

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
