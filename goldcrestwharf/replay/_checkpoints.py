"""Keep a checkpoint in the log that its retention doesn't overtake."""

import logging
import random

import attrs

from goldcrestwharf.errors import GoldcrestwharfError
from goldcrestwharf.log import Log
from goldcrestwharf.replay._acceptance import pack_snapshot
from goldcrestwharf.replay._envelope import pack_record
from goldcrestwharf.replay._records import CONFIG_STREAM, Checkpoint
from goldcrestwharf.replay._replica import Replica
from goldcrestwharf.replay._settings import ReplaySettings
from goldcrestwharf.replay._state import ReplicaState
from goldcrestwharf.timers import Timers, subscribe

_log = logging.getLogger(__name__)

#: A checkpoint is due when the newest one is as old as this share of the
#: retention, so that several more may fail before records are lost.
_DUE_SHARE = 0.25
_CHECK_JITTER = 0.5


def make_checkpoint(replica: Replica) -> Checkpoint | None:
    """Return a checkpoint of what ``replica`` has read, if it may make one.

    A replica that seeks a start, halted or met a replaced log may not.
    """
    snapshot = replica.snapshot
    if snapshot is None or replica.state is not ReplicaState.FOLLOWING:
        return None
    if not replica.cursor.mark:
        return None
    return Checkpoint(
        through=replica.cursor.position - 1,
        through_mark=replica.cursor.mark,
        snapshot=pack_snapshot(snapshot),
    )


@attrs.define(kw_only=True)
class CheckpointPolicy:
    """Decide when a checkpoint is due."""

    cfg: ReplaySettings
    _newest: int = attrs.field(default=-1, init=False)
    _seen_at: float = attrs.field(default=float('-inf'), init=False)

    def note(self, newest: int, now: float) -> None:
        """Learn the ``through`` of the newest checkpoint at a time.

        The age of one that stood in the log before is not known; at worst
        one more is made than necessary.
        """
        if newest > self._newest:
            self._newest = newest
            self._seen_at = now

    def is_due(self, replica: Replica, now: float) -> bool:
        """Tell whether the newest checkpoint is too old.

        One whose last record is not kept any more can't be confirmed by a
        reader and is due as well.
        """
        if self._newest < replica.first_offset:
            return True
        position = replica.cursor.position
        if position - self._newest > self.cfg.retention_records * _DUE_SHARE:
            return True
        return now - self._seen_at > self.cfg.retention_s * _DUE_SHARE


class Checkpointer:
    """Append checkpoints when they are due.

    Several may run at once; all but one see its checkpoint during their
    jittered wait and append none.
    """

    def __init__(
        self,
        *,
        log: Log,
        replica: Replica,
        timers: Timers,
        rng: random.Random,
        cfg: ReplaySettings,
    ) -> None:
        """Append to ``log`` what ``replica`` holds."""
        self._log = log
        self._replica = replica
        self._timers = timers
        self._rng = rng
        self._cfg = cfg
        self._policy = CheckpointPolicy(cfg=cfg)

    async def run(self) -> None:
        """Look at the newest checkpoint now and then until cancelled."""
        ticks = subscribe(
            self._timers,
            period=self._cfg.checkpoint_check_s,
            jitter=_CHECK_JITTER,
            rng=self._rng,
        )
        async for _ in ticks:
            if self._is_due():
                wait = self._rng.uniform(0, self._cfg.checkpoint_wait_s)
                await self._timers.sleep(wait)
                await self._append_if_due()

    def _is_due(self) -> bool:
        now = self._timers.now()
        self._policy.note(self._replica.journal.newest_checkpoint, now)
        return self._policy.is_due(self._replica, now)

    async def _append_if_due(self) -> None:
        checkpoint = make_checkpoint(self._replica)
        if checkpoint is None or not self._is_due():
            return
        body = pack_record(checkpoint)
        try:
            await self._log.append(CONFIG_STREAM, [body])
        except GoldcrestwharfError as exc:
            _log.warning('replay.checkpoint_failed reason=%s', exc)
            return
        _log.info('replay.checkpoint through=%d', checkpoint.through)
