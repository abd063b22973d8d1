"""Interface of the platform's append-only log."""

from collections.abc import Sequence
from typing import Protocol

import attrs


@attrs.frozen(kw_only=True)
class LogRecord:
    """Record of a stream; offsets rise by one, starting at zero."""

    offset: int
    body: bytes


@attrs.frozen(kw_only=True)
class LogPage:
    """Records that a read returned, and the bounds of the stream.

    ``first_offset`` is the offset of the earliest stored record and
    ``end_offset`` that of the next append. ``log_id`` is new whenever the log
    is replaced, also by an older copy of itself; it is empty if the platform
    states none.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    end_offset: int
    log_id: str = ''


class Log(Protocol):
    """Log of the platform, with several streams of records."""

    async def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records in one step and return the first one's offset.

        Raises :class:`PlatformUnavailableError`, whose
        ``is_effect_unknown`` is true if the records may have been appended.
        """

    async def read(
        self,
        stream: str,
        *,
        offset: int,
        limit: int,
        wait: float,
    ) -> LogPage:
        """Return up to ``limit`` records from ``offset`` on.

        Waits up to ``wait`` seconds for the first one. An ``offset`` below
        ``first_offset`` reads from there. Raises
        :class:`PlatformUnavailableError`.
        """
