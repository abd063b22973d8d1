"""Close a connection without destroying what its caller has yet to read."""

import contextlib
from typing import Any

from goldcrestwharf.loglines import EventLog

_log = EventLog(__name__)

#: Seconds for which a connection is read after all has been sent.
_LINGER_TIMEOUT_S = 2.0


class LingeringClose:
    """The close of a connection that is still read.

    A connection that is closed with unread bytes, or that receives some
    later, is reset, and a reset destroys what its caller has not read yet.
    So only the sending side is shut down, once all buffered data has been
    sent, and :meth:`check` closes the connection later. What is received in
    between has to be discarded.
    """

    def __init__(
        self, *, transport: Any, now: float, read_timeout: float
    ) -> None:
        """Shut down the sending side; times are in seconds.

        A caller that reads nothing for ``read_timeout`` has failed.
        """
        self._transport = transport
        self._read_timeout = read_timeout
        self._progress_at = now
        self._unsent = transport.get_write_buffer_size()
        # A connection that was paused would not notice that its caller left.
        transport.resume_reading()
        # Fails if the caller has just reset the connection.
        with contextlib.suppress(OSError):
            transport.write_eof()

    def check(self, now: float) -> None:
        """Close if the caller had enough time to read and to close."""
        unsent = self._transport.get_write_buffer_size()
        if unsent != self._unsent:
            self._unsent = unsent
            self._progress_at = now
        timeout = self._read_timeout if unsent else _LINGER_TIMEOUT_S
        if now - self._progress_at <= timeout:
            return
        if unsent:
            _log.note('caller.stopped_reading', unsent=unsent)
            self._transport.abort()
        else:
            self._transport.close()
