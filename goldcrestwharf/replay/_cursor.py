"""Track the read position and detect that the log was replaced."""

import enum
from collections.abc import Iterator

from goldcrestwharf.log import LogPage, LogRecord
from goldcrestwharf.replay._envelope import Entry, digest_body


class PageRelation(enum.Enum):
    """How a page of records relates to what was read before."""

    CONTINUES = enum.auto()
    GAP = enum.auto()
    REPLACED = enum.auto()


class Cursor:
    """The read position in the log.

    ``position`` is the offset to read next. ``body_digest`` is the digest of
    the record before it, empty if that record was not read. ``log_id`` is the
    identity of the log, empty if it is not known.
    """

    def __init__(
        self,
        *,
        position: int = 0,
        body_digest: bytes = b'',
        log_id: str = '',
    ) -> None:
        """Start at ``position``."""
        self.position = position
        self.body_digest = body_digest
        self.log_id = log_id

    def compare_page(self, page: LogPage) -> PageRelation:
        """Return how ``page`` relates to the position.

        The page has to be one that was read at the position or one record
        before it: only its first record is compared.

        The log was replaced if it has another identity, if it ends before the
        position, or if the record before the position differs from the one
        that was read there.
        """
        if self.log_id and page.log_id not in {'', self.log_id}:
            return PageRelation.REPLACED
        if page.end_offset < self.position:
            return PageRelation.REPLACED
        for record in page.records[:1]:
            if self._conflicts_with(record):
                return PageRelation.REPLACED
        if page.first_offset > self.position:
            return PageRelation.GAP
        return PageRelation.CONTINUES

    def iterate_unread(self, page: LogPage) -> Iterator[LogRecord]:
        """Yield each record of ``page`` that is at the position.

        The caller has to advance the position after each record; otherwise
        the next one is not yielded.
        """
        for record in page.records:
            if record.offset == self.position:
                yield record

    def advance(self, entry: Entry) -> None:
        """Move the position past ``entry``."""
        self.position = entry.offset + 1
        self.body_digest = entry.body_digest

    def _conflicts_with(self, record: LogRecord) -> bool:
        if record.offset != self.position - 1 or not self.body_digest:
            return False
        return digest_body(record.body) != self.body_digest
