"""Define the interface of the platform's append-only log."""

from collections.abc import Sequence
from typing import Protocol

import attrs


@attrs.frozen(kw_only=True)
class LogRecord:
    """Hold one record; offsets of a stream rise by one, from zero."""

    offset: int
    body: bytes


@attrs.frozen(kw_only=True)
class LogPage:
    """Hold the records read and the bounds of the stream.

    ``first_offset`` is that of the earliest record still kept and
    ``end_offset`` the one that the next append gets.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    end_offset: int


class Log(Protocol):
    """Append to and read from the streams of the platform."""

    async def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records in one step and return the first one's offset.

        Raises :class:`PlatformUnavailableError`, which tells whether the
        records may have been appended all the same.
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
