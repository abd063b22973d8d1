"""Liveness checks of streams by silence."""

import enum

#: Seconds of silence after which an idle stream is pinged.
IDLE_PING_INTERVAL_S = 1.0

#: The same for a daemon in another zone, since that traffic is charged.
REMOTE_PING_INTERVAL_S = 3.0

#: The same for a stream with pending attempts; shorter than an objective.
BUSY_PING_INTERVAL_S = 0.2

#: Seconds without any bytes after a ping until the stream is suspect: requests
#: avoid it, and another one is opened.
SUSPECT_TIMEOUT_S = 0.2

#: The same if one end has a low-bandwidth link.
LOW_BANDWIDTH_SUSPECT_TIMEOUT_S = 0.6

#: Seconds without any bytes after a ping until the stream is closed.
SILENCE_TIMEOUT_S = 0.6

#: The same if one end has a low-bandwidth link: a whole configuration takes
#: half a second there, two in a row twice that, and such VMs have slow cores.
LOW_BANDWIDTH_SILENCE_TIMEOUT_S = 1.8

#: Least seconds between the opening of another stream and the close. After a
#: stall of this process the silence is partly its own.
_MIN_SUSPECT_S = 0.35


class LivenessAction(enum.StrEnum):
    """What to do with a stream."""

    LEAVE = 'leave'
    PING = 'ping'
    REOPEN = 'reopen'
    CLOSE = 'close'


#: Suspect streams from which on all others are pinged: what silences two may
#: have silenced more, which idle pings would show only seconds later.
_COMMON_SUSPECTS = 2

#: Least time between two such rounds, in seconds.
_ROUND_INTERVAL_S = 1.0


class CommonSilence:
    """Detection of a silence that concerns more than one stream."""

    def __init__(self) -> None:
        """Start without a suspect stream."""
        self._suspects = 0
        self._last_round_at: float | None = None

    def is_round_due(self, suspects: int, now: float) -> bool:
        """Return whether all streams have to be pinged now.

        ``suspects`` is the number of suspect streams at the monotonic time
        ``now``, in seconds.
        """
        has_grown = suspects > self._suspects
        self._suspects = suspects
        if suspects < _COMMON_SUSPECTS or not has_grown:
            return False
        last = self._last_round_at
        if last is not None and now - last < _ROUND_INTERVAL_S:
            return False
        self._last_round_at = now
        return True


class Liveness:
    """Liveness check of one stream.

    Detects connections that go silent without a reset, while new connections
    to the same daemon work.
    """

    def __init__(
        self, *, is_local_zone: bool, is_low_bandwidth: bool = False
    ) -> None:
        """Create the check of a new stream."""
        self._idle_ping = (
            IDLE_PING_INTERVAL_S if is_local_zone else REMOTE_PING_INTERVAL_S
        )
        self._silence = (
            LOW_BANDWIDTH_SILENCE_TIMEOUT_S
            if is_low_bandwidth
            else SILENCE_TIMEOUT_S
        )
        self._suspect = (
            LOW_BANDWIDTH_SUSPECT_TIMEOUT_S
            if is_low_bandwidth
            else SUSPECT_TIMEOUT_S
        )
        self._pinged_at: float | None = None
        self._suspect_at: float = 0
        self._is_ping_requested = False
        self.is_suspect = False

    def request_ping(self) -> None:
        """Have the stream pinged at the next check, whatever its age."""
        self._is_ping_requested = True

    def check(
        self,
        *,
        last_heard: float,
        last_sent: float,
        now: float,
        is_busy: bool,
    ) -> LivenessAction:
        """Return the action due now; times are monotonic seconds.

        The other end closes a stream on which it receives nothing. A ping is
        therefore due also if this end only receives.
        """
        if self._pinged_at is not None and last_heard > self._pinged_at:
            self._pinged_at = None
            self.is_suspect = False
        if self._pinged_at is not None:
            return self._check_answer(now - self._pinged_at, now)
        ping_interval = BUSY_PING_INTERVAL_S if is_busy else self._idle_ping
        is_heard = now - last_heard <= ping_interval
        is_active = is_heard and now - last_sent <= self._idle_ping
        if is_active and not self._is_ping_requested:
            return LivenessAction.LEAVE
        self._is_ping_requested = False
        self._pinged_at = now
        return LivenessAction.PING

    def _check_answer(self, waited: float, now: float) -> LivenessAction:
        """Return the action after a ping without an answer so far."""
        if self.is_suspect:
            is_over = now - self._suspect_at >= _MIN_SUSPECT_S
            is_silent = is_over and waited > self._silence
            return LivenessAction.CLOSE if is_silent else LivenessAction.LEAVE
        if waited < self._suspect:
            return LivenessAction.LEAVE
        self.is_suspect = True
        self._suspect_at = now
        return LivenessAction.REOPEN
