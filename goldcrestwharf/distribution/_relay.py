"""Answer the daemons that follow this one."""

import random
from collections.abc import Callable

import attrs

from goldcrestwharf.distribution._admission import Admission
from goldcrestwharf.distribution._archive import Archive
from goldcrestwharf.distribution._messages import (
    Busy,
    Fetch,
    Full,
    NoNews,
    Step,
)
from goldcrestwharf.distribution._settings import DistributionSettings
from goldcrestwharf.peers import PeerConn
from goldcrestwharf.replay import Snapshot, SnapshotHolder, Version
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000
_SNAPSHOT_TURN_S = 0.05
_FETCH_TURN_S = 1
_MAX_WAIT_MS = 300_000

_Answer = Step | Full | NoNews | Busy


@attrs.define(kw_only=True, eq=False)
class Relay:
    """Hold fetches until there is news and answer with what leads to it.

    ``window`` returns the seconds that news wait for more of them: the
    coalescing window on a reader and 0 on the others.
    """

    holder: SnapshotHolder
    timers: Timers
    cfg: DistributionSettings
    rng: random.Random
    window: Callable[[], float]
    _archive: Archive = attrs.field(factory=Archive, init=False)
    _fetches: Admission = attrs.field(init=False)
    _snapshots: Admission = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Size the bounds by the settings."""
        self._fetches = Admission(
            at_once=self.cfg.fetches_at_once,
            turn_s=_FETCH_TURN_S,
            rng=self.rng,
        )
        self._snapshots = Admission(
            at_once=self.cfg.snapshots_at_once,
            turn_s=_SNAPSHOT_TURN_S,
            rng=self.rng,
        )

    async def run(self) -> None:
        """Remember each snapshot that comes into force."""
        version: Version | None = None
        while True:
            snapshot = await self.holder.wait_newer(version)
            self._archive.add(snapshot)
            version = snapshot.version

    async def answer(self, fetch: Fetch, _conn: PeerConn) -> _Answer:
        """Return what the follower needs, once there is news."""
        if self._fetches.is_full():
            return Busy(retry_after_ms=self._fetches.retry_after_ms())
        with self._fetches.admitted():
            return await self._answer_admitted(fetch)

    async def _answer_admitted(self, fetch: Fetch) -> _Answer:
        version = Version.parse(fetch.version) if fetch.version else None
        wait_ms = min(fetch.wait_ms, _MAX_WAIT_MS)
        with self.timers.limit(wait_ms / _MS_PER_S):
            await self.holder.wait_newer(version)
            await self._gather(fetch)
        newest = self.holder.snapshot
        if newest is None:
            return NoNews()
        if version is not None and newest.version <= version:
            return NoNews(version=str(newest.version))
        return await self._bring(fetch, version, newest)

    async def _gather(self, fetch: Fetch) -> None:
        window = self.window()
        if fetch.version and window:
            await self.timers.sleep(window)

    async def _bring(
        self,
        fetch: Fetch,
        version: Version | None,
        newest: Snapshot,
    ) -> Step | Full | Busy:
        self._archive.add(newest)
        if version is not None:
            step = self._archive.step(version, fetch.digest, newest)
            if step is not None:
                return step
        return await self._bring_full(newest)

    async def _bring_full(self, newest: Snapshot) -> Full | Busy:
        if self._snapshots.is_full():
            return Busy(retry_after_ms=self._snapshots.retry_after_ms())
        with self._snapshots.admitted():
            # The turn spaces the snapshots out, so that a herd can't take
            # the whole processor or the line.
            await self.timers.sleep(_SNAPSHOT_TURN_S)
            return self._archive.full(newest)
