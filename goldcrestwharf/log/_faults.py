"""Define the limits and the faults of the stand-in log."""

import enum
from collections.abc import Sequence

import attrs

from goldcrestwharf.log._failures import not_done
from goldcrestwharf.timers import Timers


@attrs.frozen(kw_only=True)
class LogLimits:
    """Bound what the log keeps and takes; ``None`` means without bound.

    ``retention`` is in seconds.
    """

    retention_records: int | None = None
    retention: float | None = None
    appends_per_second: int | None = None


@attrs.frozen(kw_only=True)
class LogFaults:
    """Order faults; the default orders none.

    ``delay`` is in seconds and holds up each call. The counts say how many
    of the next appends lose their answer after the effect, are delivered
    twice, or have the last byte of their records damaged.
    """

    is_out: bool = False
    delay: float = 0
    lost_answers: int = 0
    duplicates: int = 0
    corruptions: int = 0


class CountedFault(enum.Enum):
    """Name the faults that hit a number of appends."""

    LOST_ANSWER = enum.auto()
    DUPLICATE = enum.auto()
    CORRUPTION = enum.auto()


class FaultPlan:
    """Suffer the faults that were ordered, counting them down."""

    def __init__(self, *, timers: Timers) -> None:
        """Start without faults."""
        self._timers = timers
        self.order(LogFaults())

    def order(self, faults: LogFaults) -> None:
        """Suffer ``faults`` from now on, in place of earlier ones."""
        self._faults = faults
        self._left = {
            CountedFault.LOST_ANSWER: faults.lost_answers,
            CountedFault.DUPLICATE: faults.duplicates,
            CountedFault.CORRUPTION: faults.corruptions,
        }

    async def suffer(self) -> None:
        """Hold up the call, then fail it during an outage."""
        if self._faults.delay > 0:
            await self._timers.sleep(self._faults.delay)
        if self._faults.is_out:
            raise not_done('the platform log is out')

    def use_up(self, fault: CountedFault) -> bool:
        """Tell whether ``fault`` hits this append."""
        if self._left[fault] <= 0:
            return False
        self._left[fault] -= 1
        return True


def corrupt(bodies: Sequence[bytes]) -> Sequence[bytes]:
    """Return ``bodies`` with the last byte of each one changed."""
    return [_change_last_byte(body) for body in bodies]


def _change_last_byte(body: bytes) -> bytes:
    last = b'\x00' if body.endswith(b'\xff') else b'\xff'
    return body[:-1] + last
