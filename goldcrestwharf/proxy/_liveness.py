"""Liveness checks of streams by silence."""

import enum

#: Seconds of silence after which an idle stream is pinged.
IDLE_PING_INTERVAL_S = 1.0

#: The same for a daemon in another zone, since that traffic is charged.
REMOTE_PING_INTERVAL_S = 3.0

#: The same for a stream with pending attempts; shorter than an objective.
BUSY_PING_INTERVAL_S = 0.2

#: Seconds without any bytes after a ping until the stream is closed.
SILENCE_TIMEOUT_S = 0.6

#: The same if one end has a low-bandwidth link: a whole configuration takes
#: half a second there, two in a row twice that, and such VMs have slow cores.
LOW_BANDWIDTH_SILENCE_TIMEOUT_S = 1.8


class LivenessAction(enum.StrEnum):
    """What to do with a stream."""

    LEAVE = 'leave'
    PING = 'ping'
    CLOSE = 'close'


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
        self._pinged_at: float | None = None

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
        if self._pinged_at is not None:
            if now - self._pinged_at > self._silence:
                return LivenessAction.CLOSE
            return LivenessAction.LEAVE
        ping_interval = BUSY_PING_INTERVAL_S if is_busy else self._idle_ping
        is_heard = now - last_heard <= ping_interval
        if is_heard and now - last_sent <= self._idle_ping:
            return LivenessAction.LEAVE
        self._pinged_at = now
        return LivenessAction.PING
