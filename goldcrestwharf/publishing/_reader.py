"""Read the configuration stream to its end on demand."""

from goldcrestwharf.log import Log
from goldcrestwharf.replay import CONFIG_STREAM, Replica, SnapshotHolder


class LogReader:
    """A replica that is brought up to date on request.

    ``holder`` is that of the daemon, if there is one: its configuration is
    the starting point if the log retains no checkpoint, and its version
    floor shows whether the log was replaced.
    """

    def __init__(
        self,
        *,
        log: Log,
        holder: SnapshotHolder | None = None,
        page_records: int,
    ) -> None:
        """Read ``log`` in pages of up to ``page_records``."""
        self.replica = Replica()
        self._log = log
        self._holder = holder
        self._page_records = page_records

    async def catch_up(self) -> Replica:
        """Read up to the end of the log and return the replica.

        Raises :class:`PlatformUnavailableError`.
        """
        self._record_floor()
        await self._read_to_end()
        # Only a read that began after the floor was recorded can show that
        # the log ends below the floor, so read once more.
        await self._read_to_end()
        if self._holder is not None and self._holder.snapshot is not None:
            self.replica.adopt(self._holder.snapshot)
        return self.replica

    async def read_next_page(self, wait: float) -> Replica:
        """Read one page; wait up to ``wait`` seconds for its first record."""
        page = await self._log.read(
            CONFIG_STREAM,
            offset=self.replica.cursor.position,
            limit=self._page_records,
            wait=wait,
        )
        self.replica.receive(page)
        return self.replica

    async def _read_to_end(self) -> None:
        # Reading one record before the position detects a replaced log.
        position = self.replica.cursor.position
        page = await self._log.read(
            CONFIG_STREAM,
            offset=max(position - 1, 0),
            limit=self._page_records,
            wait=0,
        )
        self.replica.receive(page)
        while not self._is_at_end():
            await self.read_next_page(wait=0)

    def _is_at_end(self) -> bool:
        if self.replica.halt_reason:
            return True
        return self.replica.cursor.position >= self.replica.end_offset

    def _record_floor(self) -> None:
        if self._holder is not None and self._holder.floor is not None:
            self.replica.lineage.record_version(
                self._holder.floor,
                self._holder.floor_digest,
            )
