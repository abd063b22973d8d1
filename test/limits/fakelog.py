"""Stand in for the platform's log, with the faults that it may show."""

from collections.abc import Sequence

import anyio

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.platform import LogPage, LogRecord


def outage(*, is_effect_unknown: bool) -> PlatformUnavailableError:
    """Return the error of a log that gave no usable answer."""
    return PlatformUnavailableError(
        reason='the log is out',
        remedy='wait',
        is_effect_unknown=is_effect_unknown,
    )


class FakeLog:
    """Keep one stream in memory.

    ``is_out`` refuses all, ``loses_answers`` appends and then fails,
    ``holds_back`` fails and keeps the records for :meth:`deliver_late`, and
    ``repeats`` appends each batch twice.
    """

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.appends = 0
        self.first_offset = 0
        self.is_out = False
        self.loses_answers = False
        self.holds_back = False
        self.repeats = False
        self._held: list[bytes] = []
        self._grown = anyio.Event()

    async def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        await anyio.lowlevel.checkpoint()
        self.appends += 1
        if self.is_out:
            raise outage(is_effect_unknown=False)
        if self.holds_back:
            self._held.extend(bodies)
            raise outage(is_effect_unknown=True)
        offset = len(self.bodies)
        self._extend([*bodies] * (2 if self.repeats else 1))
        if self.loses_answers:
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
        if wait and not self.is_out and offset >= len(self.bodies):
            await self._grown.wait()
        if self.is_out:
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
        """Append what was held back."""
        held = self._held
        self._held = []
        self._extend(held)

    def wake(self) -> None:
        """End all reads that wait, as an outage does."""
        self._grown.set()
        self._grown = anyio.Event()

    def _extend(self, bodies: list[bytes]) -> None:
        self.bodies.extend(bodies)
        self.wake()
