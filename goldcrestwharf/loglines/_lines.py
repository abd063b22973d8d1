"""Write log lines to standard output without ever blocking."""

import logging
import os
import sys
from collections import deque
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from goldcrestwharf.loglines._events import FIELDS, EventLog

_log = EventLog(__name__)

#: Lines that wait for a reader of standard output; further ones are counted.
_MAX_WAITING = 2000

#: Lines below a warning that are taken between two writes; further ones are
#: counted, so that a flood of refusals doesn't take the processor.
MAX_USUAL = 100

#: Bytes handed to the kernel at once.
_CHUNK_BYTES = 65_536


class _EventFormatter(JsonFormatter):
    """Put the fields of an event beside its name."""

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Fill ``log_data``, which becomes the line."""
        super().add_fields(log_data, record, message_dict)
        log_data.update(log_data.pop(FIELDS, {}))


class LineHandler(logging.Handler):
    """Queue lines, bounded, and write them when asked to."""

    def __init__(self, *, descriptor: int) -> None:
        """Write to a file descriptor, which is made non-blocking."""
        super().__init__()
        self.dropped = 0
        self._told_dropped = 0
        self._usual = 0
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._rest = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it if too many wait."""
        is_usual = record.levelno < logging.WARNING
        self._usual += is_usual
        is_flood = is_usual and self._usual > MAX_USUAL
        if is_flood or len(self._waiting) >= _MAX_WAITING:
            self.dropped += 1
            return
        self._waiting.append(f'{self.format(record)}\n'.encode())

    def write_out(self) -> None:
        """Write what the reader takes now, and how many lines it missed."""
        self._usual = 0
        if self.dropped > self._told_dropped:
            _log.warn('log.dropped', lines=self.dropped - self._told_dropped)
            self._told_dropped = self.dropped
        while self._waiting or self._rest:
            chunk = self._rest or self._take()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                self._rest = chunk
                return
            except OSError:
                # Nobody reads any more.
                self.dropped += chunk.count(b'\n') + len(self._waiting)
                self._rest = b''
                self._waiting.clear()
                return
            self._rest = chunk[written:]

    def _take(self) -> bytes:
        taken = []
        size = 0
        while self._waiting and size < _CHUNK_BYTES:
            line = self._waiting.popleft()
            taken.append(line)
            size += len(line)
        return b''.join(taken)


def set_up_lines(level: str = 'INFO') -> LineHandler:
    """Send the log, a JSON object a line, to standard output.

    Its lines are the events of :class:`EventLog`.
    """
    handler = LineHandler(descriptor=sys.stdout.fileno())
    handler.setFormatter(make_formatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler


def make_formatter() -> logging.Formatter:
    """Return the formatter of one JSON object a line."""
    return _EventFormatter(
        '%(message)s%(levelname)s',
        rename_fields={'message': 'event', 'levelname': 'level'},
        timestamp='time',
    )
