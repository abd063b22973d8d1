"""Answer the fetches of the daemons that follow this one."""

import random
from collections.abc import Callable

import attrs

from goldcrestwharf.distribution._concurrency import ConcurrencyLimit
from goldcrestwharf.distribution._messages import (
    Busy,
    Fetch,
    Full,
    NoNews,
    Step,
)
from goldcrestwharf.distribution._settings import DistributionSettings
from goldcrestwharf.distribution._snapshot_history import SnapshotHistory
from goldcrestwharf.peers import PeerConn
from goldcrestwharf.replay import Snapshot, SnapshotHolder, Version
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000
_SNAPSHOT_SERVICE_TIME_S = 0.05
_FETCH_SERVICE_TIME_S = 1
_MAX_WAIT_MS = 300_000

_Answer = Step | Full | NoNews | Busy


@attrs.define(kw_only=True, eq=False)
class Relay:
    """The server side of long polling: it answers once there is a change.

    ``coalescing_window`` returns the seconds for which an answer waits for
    further changes: the setting on a reader and 0 on the others.
    """

    holder: SnapshotHolder
    timers: Timers
    cfg: DistributionSettings
    rng: random.Random
    coalescing_window: Callable[[], float]
    _history: SnapshotHistory = attrs.field(factory=SnapshotHistory, init=False)
    _fetch_limit: ConcurrencyLimit = attrs.field(init=False)
    _snapshot_limit: ConcurrencyLimit = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the concurrency limits from the settings."""
        self._fetch_limit = ConcurrencyLimit(
            max_concurrent=self.cfg.fetches_at_once,
            service_time_s=_FETCH_SERVICE_TIME_S,
            rng=self.rng,
        )
        self._snapshot_limit = ConcurrencyLimit(
            max_concurrent=self.cfg.snapshots_at_once,
            service_time_s=_SNAPSHOT_SERVICE_TIME_S,
            rng=self.rng,
        )

    async def run(self) -> None:
        """Store each snapshot that is activated, until cancelled."""
        version: Version | None = None
        while True:
            snapshot = await self.holder.wait_newer(version)
            self._history.add(snapshot)
            version = snapshot.version

    async def answer(self, fetch: Fetch, _conn: PeerConn) -> _Answer:
        """Return what the follower lacks, once there is a newer version."""
        if self._fetch_limit.is_full():
            return Busy(retry_after_ms=self._fetch_limit.retry_after_ms())
        with self._fetch_limit.slot():
            return await self._answer_admitted(fetch)

    async def _answer_admitted(self, fetch: Fetch) -> _Answer:
        version = Version.parse(fetch.version) if fetch.version else None
        wait_ms = min(fetch.wait_ms, _MAX_WAIT_MS)
        with self.timers.limit(wait_ms / _MS_PER_S):
            await self.holder.wait_newer(version)
            await self._coalesce(fetch)
        newest = self.holder.snapshot
        if newest is None:
            return NoNews()
        if version is not None and newest.version <= version:
            return NoNews(version=str(newest.version))
        return await self._make_answer(fetch, version, newest)

    async def _coalesce(self, fetch: Fetch) -> None:
        coalescing_window = self.coalescing_window()
        if fetch.version and coalescing_window:
            await self.timers.sleep(coalescing_window)

    async def _make_answer(
        self,
        fetch: Fetch,
        version: Version | None,
        newest: Snapshot,
    ) -> Step | Full | Busy:
        self._history.add(newest)
        if version is not None:
            step = self._history.step(version, fetch.digest, newest)
            if step is not None:
                return step
        return await self._make_full_answer(newest)

    async def _make_full_answer(self, newest: Snapshot) -> Full | Busy:
        if self._snapshot_limit.is_full():
            return Busy(retry_after_ms=self._snapshot_limit.retry_after_ms())
        with self._snapshot_limit.slot():
            # The pause spaces the snapshots out, so that many followers at
            # once can't use up the processor or the network link.
            await self.timers.sleep(_SNAPSHOT_SERVICE_TIME_S)
            return self._history.full(newest)
