"""Follow a position in the log and notice when the log is another one."""

import enum
from collections.abc import Iterator

from goldcrestwharf.log import LogPage, LogRecord
from goldcrestwharf.replay._envelope import Entry, mark_of


class PageFit(enum.Enum):
    """Tell how a page of records relates to what was read before."""

    CONTINUES = enum.auto()
    GAP = enum.auto()
    REPLACED = enum.auto()


class Cursor:
    """Hold the offset to read next and the mark of the record before it.

    ``mark`` is empty if that record was not read.
    """

    def __init__(self, *, position: int = 0, mark: bytes = b'') -> None:
        """Start at ``position``."""
        self.position = position
        self.mark = mark

    def relate(self, page: LogPage) -> PageFit:
        """Tell how ``page`` relates to the position.

        The log was replaced if it ends before the position, or if the
        record before the position is another one than was read there.
        """
        if page.end_offset < self.position:
            return PageFit.REPLACED
        for record in page.records[:1]:
            if self._contradicts(record):
                return PageFit.REPLACED
        if page.first_offset > self.position:
            return PageFit.GAP
        return PageFit.CONTINUES

    def unread(self, page: LogPage) -> Iterator[LogRecord]:
        """Yield each record of ``page`` that is next when it is asked for."""
        for record in page.records:
            if record.offset == self.position:
                yield record

    def advance(self, entry: Entry) -> None:
        """Move past ``entry``."""
        self.position = entry.offset + 1
        self.mark = entry.mark

    def _contradicts(self, record: LogRecord) -> bool:
        if record.offset != self.position - 1 or not self.mark:
            return False
        return mark_of(record.body) != self.mark
