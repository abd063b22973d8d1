"""Follow the configuration stream of the platform's log."""

import logging
import random

import attrs

from goldcrestwharf.errors import GoldcrestwharfError
from goldcrestwharf.log import Log, LogPage
from goldcrestwharf.replay._feed import ChangeFeed
from goldcrestwharf.replay._holder import SnapshotHolder
from goldcrestwharf.replay._promotion import promote
from goldcrestwharf.replay._reading import plan_read
from goldcrestwharf.replay._records import CONFIG_STREAM
from goldcrestwharf.replay._replica import Replica
from goldcrestwharf.replay._settings import ReplaySettings
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._status import ReplicaStatus, report_replica
from goldcrestwharf.timers import Backoff, Timers

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class FollowerStatus:
    """The state of a follower; ``last_error`` is empty while reads succeed."""

    replica: ReplicaStatus
    last_error: str


class LogFollower:
    """The reader that feeds a replica from the log and publishes its result.

    ``feed`` sends the accepted changes to subscribers.
    """

    def __init__(
        self,
        *,
        log: Log,
        holder: SnapshotHolder,
        timers: Timers,
        rng: random.Random,
        cfg: ReplaySettings,
    ) -> None:
        """Offer the configurations that ``log`` defines to ``holder``."""
        self.replica = Replica()
        self.feed = ChangeFeed()
        self._log = log
        self._holder = holder
        self._timers = timers
        self._cfg = cfg
        self._backoff = Backoff(
            base=cfg.backoff_base_ms / _MS_PER_S,
            cap=cfg.backoff_cap_ms / _MS_PER_S,
            rng=rng,
        )
        self._is_log_verified = True
        self._last_error = ''

    async def run(self) -> None:
        """Follow the log until cancelled, retrying after failed reads."""
        while True:
            try:
                page = await self._read()
            except GoldcrestwharfError as exc:
                await self._back_off(exc)
                continue
            self._process_page(page)

    def adopt(self, snapshot: Snapshot, through: int | None = None) -> bool:
        """Continue from a peer's configuration, see :meth:`Replica.adopt`."""
        is_adopted = self.replica.adopt(snapshot, through)
        promote(self.replica, self._holder, self.feed)
        return is_adopted

    def status(self) -> FollowerStatus:
        """Return the replica's status and the last read error."""
        return FollowerStatus(
            replica=report_replica(self.replica),
            last_error=self._last_error,
        )

    async def _read(self) -> LogPage:
        plan = plan_read(
            self.replica, self._cfg, is_log_verified=self._is_log_verified
        )
        if plan.pause:
            await self._timers.sleep(plan.pause)
        return await self._log.read(
            CONFIG_STREAM,
            offset=plan.offset,
            limit=plan.limit,
            wait=plan.wait,
        )

    async def _back_off(self, exc: GoldcrestwharfError) -> None:
        self._last_error = str(exc)
        self._is_log_verified = False
        wait = self._backoff.record_failure(self._timers.now())
        _log.warning('replay.read_failed wait_s=%.1f reason=%s', wait, exc)
        await self._timers.sleep(wait)

    def _process_page(self, page: LogPage) -> None:
        self._backoff.record_success()
        self._last_error = ''
        self._is_log_verified = bool(page.records)
        if self._holder.floor is not None:
            self.replica.lineage.record_version(
                self._holder.floor,
                self._holder.floor_digest,
            )
        self.replica.receive(page)
        promote(self.replica, self._holder, self.feed)
