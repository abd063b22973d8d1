"""Append checkpoints often enough that retention never drops the last."""

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

#: A checkpoint is due when the newest one is older than this fraction of the
#: retention, so that several more may fail before records are lost.
_MAX_CHECKPOINT_AGE_FRACTION = 0.25
_CHECK_JITTER_FRACTION = 0.5


def make_checkpoint(replica: Replica) -> Checkpoint | None:
    """Return a checkpoint of what ``replica`` has read.

    ``None`` if the replica still searches for a starting point, halted, or
    found the log replaced.
    """
    snapshot = replica.snapshot
    if snapshot is None or replica.state is not ReplicaState.FOLLOWING:
        return None
    if not replica.cursor.body_digest:
        return None
    return Checkpoint(
        through=replica.cursor.position - 1,
        through_mark=replica.cursor.body_digest,
        snapshot=pack_snapshot(snapshot),
        log_id=replica.cursor.log_id,
    )


@attrs.define(kw_only=True)
class CheckpointPolicy:
    """The rule for when a checkpoint is due."""

    cfg: ReplaySettings
    _newest: int = attrs.field(default=-1, init=False)
    _seen_at: float = attrs.field(default=float('-inf'), init=False)

    def record_newest(self, newest: int, now: float) -> None:
        """Record the ``through`` of the newest checkpoint and when seen.

        The age of a checkpoint written before this daemon started is not
        known; at worst one checkpoint too many is made.
        """
        if newest > self._newest:
            self._newest = newest
            self._seen_at = now

    def is_due(self, replica: Replica, now: float) -> bool:
        """Return whether the newest checkpoint is too old.

        A new one is also due when retention has dropped the last record that
        the checkpoint covers, because a reader can't confirm it then.
        """
        if self._newest < replica.first_offset:
            return True
        position = replica.cursor.position
        if (
            position - self._newest
            > self.cfg.retention_records * _MAX_CHECKPOINT_AGE_FRACTION
        ):
            return True
        return (
            now - self._seen_at
            > self.cfg.retention_s * _MAX_CHECKPOINT_AGE_FRACTION
        )


class Checkpointer:
    """The task that appends checkpoints when they are due.

    Several daemons may run one at once. Each waits for a random time first,
    and all but one see the checkpoint of another daemon during that wait and
    append none.
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
        """Append checkpoints of ``replica`` to ``log``."""
        self._log = log
        self._replica = replica
        self._timers = timers
        self._rng = rng
        self._cfg = cfg
        self._policy = CheckpointPolicy(cfg=cfg)

    async def run(self) -> None:
        """Check the newest checkpoint periodically until cancelled."""
        ticks = subscribe(
            self._timers,
            period=self._cfg.checkpoint_check_s,
            jitter=_CHECK_JITTER_FRACTION,
            rng=self._rng,
        )
        async for _ in ticks:
            if self._is_due():
                wait = self._rng.uniform(0, self._cfg.checkpoint_wait_s)
                await self._timers.sleep(wait)
                await self._append_if_due()

    def _is_due(self) -> bool:
        now = self._timers.now()
        self._policy.record_newest(self._replica.journal.newest_checkpoint, now)
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
