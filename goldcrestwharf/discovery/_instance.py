"""Keep what the target on this VM says of itself."""

import enum

import attrs

#: Heartbeats in a row that may be missed before a target counts as silent.
_MISSED_BEATS = 3

#: Targets that left before they were known, of which the latest are kept.
_MAX_LEAVINGS = 64


class InstanceState(enum.StrEnum):
    """Name what a target says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class BeatVerdict(enum.StrEnum):
    """Tell what became of a heartbeat."""

    ACCEPTED = 'accepted'
    STALE = 'stale'
    FOREIGN = 'foreign'


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Hold one statement of a target about itself.

    ``started_ms`` is the Unix time of the start of its process in
    milliseconds, ``sequence`` rises with each statement of one process, and
    ``cold_left`` is how much longer it is slow, in seconds.
    """

    instance_id: str
    started_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    state: InstanceState
    cold_left: float = 0


@attrs.frozen(kw_only=True)
class Instance:
    """Hold what is known of one process of a target.

    Times are monotonic seconds; ``drains_since`` is ``None`` while it takes
    new work.
    """

    beat: Heartbeat
    heard_at: float
    drains_since: float | None = None

    @property
    def process(self) -> tuple[str, int]:
        """Return what tells one start of a target from another."""
        return (self.beat.instance_id, self.beat.started_ms)


@attrs.frozen(kw_only=True)
class Leaving:
    """State that a target leaves.

    ``started_ms`` is the start of its process as in its heartbeats, or
    ``None`` if it didn't say.
    """

    instance_id: str
    started_ms: int | None = None

    def covers(self, beat: Heartbeat) -> bool:
        """Tell whether a heartbeat is of the process that leaves."""
        if beat.instance_id != self.instance_id:
            return False
        return self.started_ms is None or beat.started_ms <= self.started_ms


@attrs.frozen(kw_only=True)
class _Noted:
    leaving: Leaving
    since: float


class InstanceRegister:
    """Follow the target on this VM through its heartbeats.

    A later start replaces an earlier one, and within a start a higher
    sequence replaces a lower one, so that heartbeats that were held up
    change nothing. Draining is final for one start.
    """

    def __init__(self, *, address: str, service: str, period: float) -> None:
        """Accept statements of the target at ``address`` alone.

        ``period`` is the time between two heartbeats, in seconds.
        """
        self.current: Instance | None = None
        self._address = address
        self._service = service
        self._silent_after = period * _MISSED_BEATS
        self._leavings: dict[str, _Noted] = {}

    def note(self, beat: Heartbeat, now: float) -> BeatVerdict:
        """Take in a heartbeat."""
        if beat.address != self._address or beat.service != self._service:
            return BeatVerdict.FOREIGN
        known = self.current
        if known is not None and _is_older(beat, known.beat):
            return BeatVerdict.STALE
        drains_since = self._find_leaving(beat)
        if known is not None and _is_same_start(beat, known.beat):
            drains_since = known.drains_since
        if beat.state is InstanceState.DRAINING and drains_since is None:
            drains_since = now
        self.current = Instance(
            beat=beat,
            heard_at=now,
            drains_since=drains_since,
        )
        return BeatVerdict.ACCEPTED

    def note_leaving(self, leaving: Leaving, now: float) -> bool:
        """Drain the target that says it leaves; tell whether it is known.

        One that is not known yet, as after a restart of this daemon, is
        remembered: its heartbeats may still say that it is ready.
        """
        known = self.current
        if known is None or known.beat.instance_id != leaving.instance_id:
            self._leavings[leaving.instance_id] = _Noted(
                leaving=leaving,
                since=now,
            )
            self._forget_old_leavings()
            return False
        is_meant = leaving.covers(known.beat)
        if is_meant and known.drains_since is None:
            self.current = attrs.evolve(known, drains_since=now)
        return is_meant

    def is_silent(self, now: float) -> bool:
        """Tell whether several heartbeats in a row were missed."""
        known = self.current
        return known is None or now - known.heard_at > self._silent_after

    def _find_leaving(self, beat: Heartbeat) -> float | None:
        noted = self._leavings.get(beat.instance_id)
        if noted is None or not noted.leaving.covers(beat):
            return None
        return noted.since

    def _forget_old_leavings(self) -> None:
        while len(self._leavings) > _MAX_LEAVINGS:
            self._leavings.pop(next(iter(self._leavings)))


def _is_same_start(beat: Heartbeat, known: Heartbeat) -> bool:
    return (beat.instance_id, beat.started_ms) == (
        known.instance_id,
        known.started_ms,
    )


def _is_older(beat: Heartbeat, known: Heartbeat) -> bool:
    if beat.started_ms != known.started_ms:
        return beat.started_ms < known.started_ms
    if beat.instance_id != known.instance_id:
        return False
    return beat.sequence <= known.sequence
