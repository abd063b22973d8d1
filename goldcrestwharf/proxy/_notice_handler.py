"""Handling of what the local target says about itself in its answers."""

import math
from collections.abc import Callable

from goldcrestwharf.admission import SlotScheduler
from goldcrestwharf.discovery import InstanceTracker, LeaveNotice, TargetProcess
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._peer_messages import TargetHint
from goldcrestwharf.proxy._target_notices import TargetNotices

_log = EventLog(__name__)


class NoticeHandler:
    """Handler of the notices of the local target.

    After a restart of this daemon, other daemons hint at what the target has
    said before. A hint at the limit counts until the target answers.
    """

    def __init__(
        self, *, instance_tracker: InstanceTracker, scheduler: SlotScheduler
    ) -> None:
        """Apply limits to ``scheduler``."""
        self._instance_tracker = instance_tracker
        self._scheduler = scheduler
        self._last = TargetNotices()
        self._has_answered = False
        self._hint: TargetHint | None = None
        self._handle_leave: Callable[[], None] = _do_nothing

    def watch_leave(self, handle_leave: Callable[[], None]) -> None:
        """Call ``handle_leave`` when the target is known to be leaving."""
        self._handle_leave = handle_leave

    @property
    def limit(self) -> float | None:
        """Return the limit of the target, if any, in requests per second."""
        return self._scheduler.rate.limit

    def reset(self, process: TargetProcess) -> None:
        """Begin with another process of the target."""
        self._last = TargetNotices()
        self._has_answered = False
        hint = self._hint
        is_known = hint is not None and hint.process == process
        self._apply_limit(hint.limit if hint and is_known else None)

    def apply(
        self, instance_id: str, notices: TargetNotices, *, is_complete: bool
    ) -> None:
        """Apply the notices of an answer of an instance.

        A target that refuses a request may leave out its limit, and a damaged
        answer may lack it. Only a proven one to a request that ran
        (``is_complete``) ends it.
        """
        known = self._instance_tracker.current
        if known is None or known.heartbeat.instance_id != instance_id:
            return
        self._has_answered = True
        if is_complete or notices.limit is not None:
            self._apply_limit(notices.limit)
            self._log_change(instance_id, notices)
        if notices.is_leaving and known.draining_since is None:
            self._leave(known.process, self._scheduler.now())

    def receive_hint(self, hint: TargetHint) -> None:
        """Apply what another daemon knows of the target."""
        known = self._instance_tracker.current
        self._hint = hint
        if hint.is_leaving:
            # The leaving may have been acknowledged long before the restart.
            self._leave(hint.process, -math.inf)
        if known is None or known.process != hint.process:
            return
        if not self._has_answered:
            self._apply_limit(hint.limit)

    def _apply_limit(self, limit: float | None) -> None:
        self._scheduler.rate.apply(limit)
        self._scheduler.grant()

    def _leave(self, process: TargetProcess, since: float) -> None:
        instance_id, started_ms = process
        self._instance_tracker.record_leave(
            LeaveNotice(instance_id=instance_id, started_ms=started_ms),
            since,
        )
        self._handle_leave()

    def _log_change(self, instance_id: str, notices: TargetNotices) -> None:
        if notices == self._last:
            return
        self._last = notices
        _log.note(
            'target.notices',
            instance=instance_id,
            limit=notices.limit,
            is_leaving=notices.is_leaving,
        )


def _do_nothing() -> None:
    """Inform nobody."""
