"""In-memory fake of the platform's log with fault injection."""

import enum
from collections.abc import Sequence

import anyio

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.log import LogPage, LogRecord


def outage(*, is_effect_unknown: bool) -> PlatformUnavailableError:
    """Return the error raised when the log gives no usable answer."""
    return PlatformUnavailableError(
        reason='the log is unavailable',
        remedy='wait',
        is_effect_unknown=is_effect_unknown,
    )


class Fault(enum.StrEnum):
    """Fault injected into the log."""

    NONE = 'well'
    OUTAGE = 'out'
    LOST_ANSWERS = 'lose'
    DELAYED_APPENDS = 'hold'
    DUPLICATED_APPENDS = 'repeat'


class FakeLog:
    """In-memory log with one stream.

    With ``DELAYED_APPENDS`` an append fails and its records wait until
    :meth:`deliver_late`; with ``DUPLICATED_APPENDS`` each batch is appended
    twice.
    """

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.appends = 0
        self.first_offset = 0
        self.fault = Fault.NONE
        self._held: list[bytes] = []
        self._grown = anyio.Event()

    async def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        await anyio.lowlevel.checkpoint()
        self.appends += 1
        offset = len(self.bodies)
        match self.fault:
            case Fault.OUTAGE:
                raise outage(is_effect_unknown=False)
            case Fault.DELAYED_APPENDS:
                self._held.extend(bodies)
                raise outage(is_effect_unknown=True)
            case Fault.DUPLICATED_APPENDS:
                self._extend([*bodies, *bodies])
            case _:
                self._extend(bodies)
        if self.fault is Fault.LOST_ANSWERS:
            raise outage(is_effect_unknown=True)
        return offset

    async def read(
        self,
        stream: str,
        *,
        offset: int,
        limit: int,
        wait: float,
    ) -> LogPage:
        await anyio.lowlevel.checkpoint()
        if (
            wait
            and self.fault is not Fault.OUTAGE
            and offset >= len(self.bodies)
        ):
            await self._grown.wait()
        if self.fault is Fault.OUTAGE:
            raise outage(is_effect_unknown=False)
        start = max(offset, self.first_offset)
        bodies = self.bodies[start : start + limit]
        return LogPage(
            records=tuple(
                LogRecord(offset=number, body=body)
                for number, body in enumerate(bodies, start)
            ),
            first_offset=self.first_offset,
            end_offset=len(self.bodies),
        )

    def deliver_late(self) -> None:
        """Append the records that were held back."""
        held = self._held
        self._held = []
        self._extend(held)

    def wake(self) -> None:
        """End all waiting reads, as an outage does."""
        self._grown.set()
        self._grown = anyio.Event()

    def _extend(self, bodies: Sequence[bytes]) -> None:
        self.bodies.extend(bodies)
        self.wake()
