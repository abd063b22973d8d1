"""Log handler that writes to standard output without ever blocking."""

import logging
import os
import sys
from collections import deque
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from goldcrestwharf.loglines._events import FIELDS, EventLog

_log = EventLog(__name__)

#: Most lines queued for a slow reader of standard output; further lines are
#: dropped and counted.
_MAX_QUEUED_LINES = 2000

#: Most lines below WARNING accepted between two writes; further lines are
#: dropped and counted, so that logging a flood of refusals doesn't use up the
#: CPU.
MAX_INFO_LINES = 100

#: Size at which a chunk of lines is passed to the kernel in one write.
_CHUNK_BYTES = 65_536


class _EventFormatter(JsonFormatter):
    """JSON formatter that puts the fields of an event at the top level."""

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Fill ``log_data``, the object that is written as JSON."""
        super().add_fields(log_data, record, message_dict)
        log_data.update(log_data.pop(FIELDS, {}))


class LineHandler(logging.Handler):
    """Handler with a bounded queue of lines, written by :meth:`flush_lines`."""

    def __init__(self, *, descriptor: int) -> None:
        """Write to ``descriptor``, which is made non-blocking."""
        super().__init__()
        self.dropped = 0
        self._reported_dropped = 0
        self._info_lines = 0
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._unwritten = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop and count it if there are too many."""
        is_info = record.levelno < logging.WARNING
        self._info_lines += is_info
        is_over_limit = is_info and self._info_lines > MAX_INFO_LINES
        if is_over_limit or len(self._queue) >= _MAX_QUEUED_LINES:
            self.dropped += 1
            return
        try:
            line = self.format(record)
        except Exception:
            # The part of the daemon that logs must not fail by what it logs.
            self.dropped += 1
            return
        self._queue.append(f'{line}\n'.encode('utf-8', 'backslashreplace'))

    def flush_lines(self) -> None:
        """Write as much as the reader accepts, and report dropped lines."""
        self._info_lines = 0
        if self.dropped > self._reported_dropped:
            _log.warning(
                'log.dropped', lines=self.dropped - self._reported_dropped
            )
            self._reported_dropped = self.dropped
        while self._queue or self._unwritten:
            chunk = self._unwritten or self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                self._unwritten = chunk
                return
            except OSError:
                # The reader has closed the pipe.
                self.dropped += chunk.count(b'\n') + len(self._queue)
                self._unwritten = b''
                self._queue.clear()
                return
            self._unwritten = chunk[written:]

    def _next_chunk(self) -> bytes:
        lines = []
        size = 0
        while self._queue and size < _CHUNK_BYTES:
            line = self._queue.popleft()
            lines.append(line)
            size += len(line)
        return b''.join(lines)


def set_up_json_log(level: str = 'INFO') -> LineHandler:
    """Send the log to standard output, one JSON object per line."""
    handler = LineHandler(descriptor=sys.stdout.fileno())
    handler.setFormatter(make_formatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler


def make_formatter() -> logging.Formatter:
    """Return the formatter that writes one JSON object per line."""
    return _EventFormatter(
        '%(message)s%(levelname)s',
        rename_fields={'message': 'event', 'levelname': 'level'},
        timestamp='time',
    )
