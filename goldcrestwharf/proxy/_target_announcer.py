"""Announcement of the local target to other daemons."""

from collections.abc import Callable

import attrs

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._peer_messages import TargetState
from goldcrestwharf.proxy._replies import pack_report

_log = EventLog(__name__)

_MS_PER_S = 1000


class TargetAnnouncer:
    """Announcer of changes of the local target to other daemons."""

    def __init__(self, *, core: Core, local_target: LocalTarget) -> None:
        """Announce the target that ``local_target`` runs."""
        self._core = core
        self._local_target = local_target
        self._announced: TargetState | None = None

    def describe(self) -> TargetState:
        """Return the current state of the local target."""
        instance = self._core.instance_tracker.current
        report = pack_report(self._local_target.report())
        if instance is None or not self._local_target.is_reachable():
            return TargetState(
                service=self._core.cfg.service,
                instance_id='',
                is_draining=False,
                slow_start_ms=0,
                report=report,
            )
        cold = instance.last_seen_at + instance.heartbeat.slow_start_left
        is_leaving = instance.draining_since is not None
        return TargetState(
            service=instance.heartbeat.service,
            instance_id=instance.heartbeat.instance_id,
            is_draining=is_leaving or self._core.shutdown.has_begun,
            slow_start_ms=max(
                round((cold - self._core.clock()) * _MS_PER_S), 0
            ),
            report=report,
            started_ms=instance.heartbeat.started_ms,
            limit=self._local_target.notices.limit,
            version=instance.heartbeat.version,
            is_leaving=is_leaving,
        )

    def announce_changes(self, send: Callable[[TargetState], None]) -> None:
        """Call ``send`` if the state changed since the last announcement."""
        state = self.describe()
        facts = attrs.evolve(state, slow_start_ms=0, report=[])
        if facts == self._announced:
            return
        self._announced = facts
        _log.note(
            'target.state',
            instance=state.instance_id,
            is_draining=state.is_draining,
            limit=state.limit,
            cold_ms=state.slow_start_ms,
        )
        send(state)
