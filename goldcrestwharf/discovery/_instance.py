"""Tracking of the target on this VM by its heartbeats."""

import enum
import math

import attrs

#: Number of consecutive heartbeats that may be missed until a target is silent.
_MAX_MISSED_HEARTBEATS = 3

#: Maximum number of leave notices kept for instances that are not known yet.
_MAX_LEAVE_NOTICES = 64


class InstanceState(enum.StrEnum):
    """State that a target reports."""

    READY = 'ready'
    DRAINING = 'draining'


class HeartbeatResult(enum.StrEnum):
    """Result of recording a heartbeat."""

    ACCEPTED = 'accepted'
    STALE = 'stale'
    FOREIGN = 'foreign'


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Heartbeat of a target.

    ``started_ms`` is the start of its process, in Unix milliseconds.
    ``sequence`` increases with each heartbeat of a process.
    ``slow_start_left`` is the remaining time of its slow start, in seconds.
    ``version`` is that of its software, empty if it names none.
    """

    instance_id: str
    started_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    state: InstanceState
    slow_start_left: float = 0
    version: str = ''


@attrs.frozen(kw_only=True)
class Instance:
    """Tracked state of one process of a target.

    Times are monotonic seconds; ``draining_since`` is ``None`` while it accepts
    requests.
    """

    heartbeat: Heartbeat
    last_seen_at: float
    draining_since: float | None = None

    @property
    def process(self) -> tuple[str, int]:
        """Return the identity of this start of the target."""
        return (self.heartbeat.instance_id, self.heartbeat.started_ms)


@attrs.frozen(kw_only=True)
class LeaveNotice:
    """Notice that a target will stop.

    ``started_ms`` is the start of its process as in its heartbeats, or
    ``None`` if the notice has none.
    """

    instance_id: str
    started_ms: int | None = None

    def covers(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is from the process that stops."""
        if heartbeat.instance_id != self.instance_id:
            return False
        return (
            self.started_ms is None or heartbeat.started_ms <= self.started_ms
        )

    def may_cover_later(self, known: Heartbeat) -> bool:
        """Return whether it may be from a start after a known heartbeat."""
        if known.instance_id != self.instance_id:
            return True
        return (
            self.started_ms is not None and self.started_ms > known.started_ms
        )


@attrs.frozen(kw_only=True)
class _StoredNotice:
    notice: LeaveNotice
    since: float


class InstanceTracker:
    """Tracker of the target on this VM.

    A later start replaces an earlier one, and a higher sequence number
    replaces a lower one, so delayed heartbeats have no effect. Draining is
    final for a start.
    """

    def __init__(self, *, address: str, service: str, period: float) -> None:
        """Accept heartbeats of the target at ``address`` only.

        ``period`` is the interval of its heartbeats, in seconds.
        """
        self.current: Instance | None = None
        self._address = address
        self._service = service
        self._silent_after = period * _MAX_MISSED_HEARTBEATS
        self._leave_notices: dict[str, _StoredNotice] = {}

    def record_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> HeartbeatResult:
        """Record a heartbeat."""
        if (
            heartbeat.address != self._address
            or heartbeat.service != self._service
        ):
            return HeartbeatResult.FOREIGN
        known = self.current
        if known is not None and _is_older(heartbeat, known.heartbeat):
            return HeartbeatResult.STALE
        draining_since = self._find_leave_time(heartbeat)
        if known is not None and _is_same_start(heartbeat, known.heartbeat):
            draining_since = known.draining_since
        if heartbeat.state is InstanceState.DRAINING and draining_since is None:
            # This daemon may have acknowledged it long ago, before a restart.
            draining_since = now if known else -math.inf
        self.current = Instance(
            heartbeat=heartbeat,
            last_seen_at=now,
            draining_since=draining_since,
        )
        return HeartbeatResult.ACCEPTED

    def record_leave(self, notice: LeaveNotice, now: float) -> bool:
        """Mark a stopping target as draining.

        Returns whether the notice is for the process that sends heartbeats.

        The notice of a start that is not known yet is kept, since its first
        heartbeat may arrive later and still report it as ready: after a
        restart of this daemon, or if the heartbeat was delayed.
        """
        known = self.current
        is_later = known is None or notice.may_cover_later(known.heartbeat)
        if is_later:
            self._store_notice(notice, now)
        if known is None or not notice.covers(known.heartbeat):
            return False
        if known.draining_since is None:
            self.current = attrs.evolve(known, draining_since=now)
        return not is_later

    def is_silent(self, now: float) -> bool:
        """Return whether several heartbeats in a row were missed."""
        known = self.current
        return known is None or now - known.last_seen_at > self._silent_after

    def _find_leave_time(self, heartbeat: Heartbeat) -> float | None:
        stored = self._leave_notices.get(heartbeat.instance_id)
        if stored is None or not stored.notice.covers(heartbeat):
            return None
        return stored.since

    def _store_notice(self, notice: LeaveNotice, now: float) -> None:
        stored = self._leave_notices.get(notice.instance_id)
        if stored is not None and _is_at_least_as_late(stored.notice, notice):
            return
        self._leave_notices[notice.instance_id] = _StoredNotice(
            notice=notice,
            since=now,
        )
        while len(self._leave_notices) > _MAX_LEAVE_NOTICES:
            self._leave_notices.pop(next(iter(self._leave_notices)))


def _is_same_start(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    return (heartbeat.instance_id, heartbeat.started_ms) == (
        known.instance_id,
        known.started_ms,
    )


def _is_older(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    if heartbeat.started_ms != known.started_ms:
        return heartbeat.started_ms < known.started_ms
    if heartbeat.instance_id != known.instance_id:
        return False
    return heartbeat.sequence <= known.sequence


def _is_at_least_as_late(stored: LeaveNotice, notice: LeaveNotice) -> bool:
    """Return whether a stored notice makes another one superfluous."""
    if stored.started_ms is None or notice.started_ms is None:
        return stored.started_ms == notice.started_ms
    return stored.started_ms >= notice.started_ms
