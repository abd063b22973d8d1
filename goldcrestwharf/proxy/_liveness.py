"""Judge by silence whether a stream still lives."""

import enum

#: Seconds of silence after which an idle stream is pinged.
IDLE_PING_S = 1.0

#: The same for a daemon in another zone, since bytes between zones are charged.
FAR_PING_S = 3.0

#: The same for a stream with requests under way, less than an objective.
BUSY_PING_S = 0.2

#: Seconds without any sign of life after a ping until the stream is given up.
SILENCE_S = 0.6

#: The same where one end has a narrow link: a whole configuration takes half
#: a second of it, twice that while two pass, and such VMs have slow cores.
NARROW_SILENCE_S = 1.8


class Verdict(enum.StrEnum):
    """Name what to do with a stream."""

    LEAVE = 'leave'
    PING = 'ping'
    CLOSE = 'close'


class Liveness:
    """Tell when to ping a stream and when to give it up.

    Answers connections that go silent without a reset while new ones work.
    """

    def __init__(self, *, is_local_zone: bool, is_narrow: bool = False) -> None:
        """Start with a stream that was just opened."""
        self._idle_ping = IDLE_PING_S if is_local_zone else FAR_PING_S
        self._silence = NARROW_SILENCE_S if is_narrow else SILENCE_S
        self._pinged_at: float | None = None

    def judge(
        self,
        *,
        last_heard: float,
        last_sent: float,
        now: float,
        is_busy: bool,
    ) -> Verdict:
        """Return what to do now; times are monotonic seconds.

        The other end gives up a stream on which nothing comes, so a ping is
        due also while its own messages keep coming.
        """
        if self._pinged_at is not None and last_heard > self._pinged_at:
            self._pinged_at = None
        if self._pinged_at is not None:
            if now - self._pinged_at > self._silence:
                return Verdict.CLOSE
            return Verdict.LEAVE
        patience = BUSY_PING_S if is_busy else self._idle_ping
        is_heard = now - last_heard <= patience
        if is_heard and now - last_sent <= self._idle_ping:
            return Verdict.LEAVE
        self._pinged_at = now
        return Verdict.PING
