"""Limits and injected faults of the in-memory log."""

import enum
from collections.abc import Sequence

import attrs

from goldcrestwharf.log._failures import no_effect_error
from goldcrestwharf.timers import Timers


@attrs.frozen(kw_only=True)
class LogLimits:
    """Retention and rate limits of the log; ``None`` means no limit.

    ``retention`` is in seconds.
    """

    retention_records: int | None = None
    retention: float | None = None
    appends_per_second: int | None = None


@attrs.frozen(kw_only=True)
class LogFaults:
    """Faults to inject; none by default.

    Each call is delayed by ``delay`` seconds and fails while
    ``is_unavailable``. The counts are the numbers of next appends whose
    answer is lost after the effect, that are appended twice, or whose
    records have their last byte changed.
    """

    is_unavailable: bool = False
    delay: float = 0
    lost_answers: int = 0
    duplicates: int = 0
    corruptions: int = 0


class CountedFault(enum.Enum):
    """Fault that is injected into a number of appends."""

    LOST_ANSWER = enum.auto()
    DUPLICATE = enum.auto()
    CORRUPTION = enum.auto()


class FaultInjector:
    """Injector of the configured faults, which counts them down."""

    def __init__(self, *, timers: Timers) -> None:
        """Start without faults."""
        self._timers = timers
        self.configure(LogFaults())

    def configure(self, faults: LogFaults) -> None:
        """Replace the configured faults by ``faults``."""
        self._faults = faults
        self._remaining = {
            CountedFault.LOST_ANSWER: faults.lost_answers,
            CountedFault.DUPLICATE: faults.duplicates,
            CountedFault.CORRUPTION: faults.corruptions,
        }

    async def delay_or_fail(self) -> None:
        """Delay the call, then raise an error during an outage."""
        if self._faults.delay > 0:
            await self._timers.sleep(self._faults.delay)
        if self._faults.is_unavailable:
            raise no_effect_error('the platform log is unavailable')

    def consume(self, fault: CountedFault) -> bool:
        """Return whether to inject ``fault`` into this append, counting it."""
        if self._remaining[fault] <= 0:
            return False
        self._remaining[fault] -= 1
        return True


def corrupt(bodies: Sequence[bytes]) -> Sequence[bytes]:
    """Return ``bodies`` with the last byte of each one changed."""
    return [_change_last_byte(body) for body in bodies]


def _change_last_byte(body: bytes) -> bytes:
    last = b'\x00' if body.endswith(b'\xff') else b'\xff'
    return body[:-1] + last
