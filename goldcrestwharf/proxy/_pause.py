"""Detection of pauses of this process, and a clock that counts them."""

import asyncio
import time
from collections.abc import Callable

#: Time between two signs of activity, in seconds, that shows a pause. The
#: monitor of the streams gives one five times a second.
_MAX_INACTIVITY_S = 0.5

#: Time between two signs of activity, in seconds, after which what the process
#: notices may have waited for it.
_LATE_S = 0.25


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose time goes on while the VM is suspended.

    Deadlines and the times until which something is allowed so pass during a
    suspension; the monotonic clock of the system leaves it out.
    """

    def time(self) -> float:
        """Return seconds since the start of the VM."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detector of pauses, by the time since the last sign of activity."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        processor_clock: Callable[[], float] = time.process_time,
    ) -> None:
        """Begin active; ``clock`` returns monotonic seconds.

        ``processor_clock`` returns the processor time of this process.
        """
        self._clock = clock
        self._processor_clock = processor_clock
        self._active_at = clock()
        self._earlier_at = self._active_at
        self._used_before = processor_clock()

    def find_pause(self) -> float:
        """Return the seconds of a pause that has just ended, zero if none.

        What is read now may have waited for as long.
        """
        inactive = self._clock() - self._active_at
        return inactive if inactive > _MAX_INACTIVITY_S else 0

    def find_processor_time(self) -> float:
        """Return the processor time, in seconds, since the last activity.

        A pause of which it is a large part was a long turn of the event loop.
        """
        return self._processor_clock() - self._used_before

    def record_activity(self) -> None:
        """Record that the process runs."""
        self._used_before = self._processor_clock()
        self._earlier_at = self._active_at
        self._active_at = self._clock()

    def find_earliest(self) -> float:
        """Return since when a signal that is handled now may have waited.

        After a late sign of activity it may have come before that one.
        """
        was_late = self._active_at - self._earlier_at > _LATE_S
        return self._earlier_at if was_late else self._active_at
