"""Store the latest changes for readers that are a few versions behind."""

from collections import deque
from itertools import dropwhile

from goldcrestwharf.replay._decisions import AppliedChange
from goldcrestwharf.replay._version import Version


class ChangeHistory:
    """A chain of consecutive changes, bounded in number and bytes."""

    def __init__(
        self,
        *,
        max_changes: int = 256,
        max_bytes: int = 4_194_304,
    ) -> None:
        """Start without changes."""
        self._max_changes = max_changes
        self._max_bytes = max_bytes
        self._changes: deque[AppliedChange] = deque()
        self._bytes = 0

    def add(self, change: AppliedChange) -> None:
        """Append ``change``; start a new chain if it doesn't follow on."""
        if self._changes and self._changes[-1].version != change.base:
            self._changes.clear()
            self._bytes = 0
        self._changes.append(change)
        self._bytes += len(change.delta)
        while self._exceeds_limits():
            self._bytes -= len(self._changes.popleft().delta)

    def since(
        self, version: Version | None
    ) -> tuple[AppliedChange, ...] | None:
        """Return the changes after ``version``.

        ``None`` if they are no longer stored, empty for the latest version.
        """
        if self._changes and self._changes[-1].version == version:
            return ()
        later = tuple(
            dropwhile(lambda each: each.base != version, self._changes),
        )
        return later or None

    def _exceeds_limits(self) -> bool:
        if len(self._changes) > self._max_changes:
            return True
        return self._bytes > self._max_bytes
