"""Memory for what the connections of callers hold."""

import asyncio
import math
from collections.abc import Callable

import attrs

#: Fraction of the memory of the process that callers may take.
_FRACTION = 0.1875

#: Memory for callers, in bytes, if that of the process is not limited.
_DEFAULT_LIMIT = 67_108_864

#: Fraction of the free memory that one step of a connection may take, so that
#: a few large requests leave room for many small ones.
_MAX_STEP_FRACTION = 0.5

#: Seconds for which connections wait before others have to give memory back.
_PATIENCE_S = 0.5

#: Fraction of the limit that is in use after memory was given back.
_RELIEVED_FRACTION = 0.5


@attrs.define(kw_only=True, eq=False)
class CallerShare:
    """Memory that one connection holds; ``size`` is in bytes.

    ``resume`` is called when a connection that has to wait may try again.
    ``give_up`` makes it give memory back; a request in progress keeps its
    memory. ``held_since`` is the time, in seconds, at which the last request
    ended, or the connection began. Nothing is held once ``is_released``.
    """

    resume: Callable[[], None]
    give_up: Callable[[], None]
    size: int = 0
    held_since: float = 0
    waiting_since: float | None = None
    is_released: bool = False

    def find_weight(self, now: float) -> tuple[float, int]:
        """Return the order in which shares give memory back, last first."""
        return self.size * (now - self.held_since), self.size


class CallerMemory:
    """Memory that all connections of callers may take together.

    A connection may take more while it holds less than is free, so that one
    that holds little can go on when large ones have to wait. One connection at
    a time is exempt, so that any single request can be received; what it holds
    comes on top. ``limit`` and ``used`` are in bytes.
    """

    def __init__(
        self,
        *,
        memory_bytes: float = math.inf,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Allow a fraction of ``memory_bytes``."""
        is_limited = math.isfinite(memory_bytes)
        self.limit = memory_bytes * _FRACTION if is_limited else _DEFAULT_LIMIT
        self.used = 0
        self._clock = clock or asyncio.get_running_loop().time
        self._exempt: CallerShare | None = None
        self._waiting: dict[CallerShare, float] = {}
        self._shares: set[CallerShare] = set()
        self._is_resuming = False

    def admit(self, share: CallerShare, size: int) -> bool:
        """Return whether ``share`` may hold ``size`` bytes in all.

        If not, it waits until it is resumed.
        """
        if self._has_room(share, size):
            self._waiting.pop(share, None)
            share.waiting_since = None
            return True
        if share.waiting_since is None:
            share.waiting_since = self._clock()
        self._waiting[share] = share.waiting_since
        return False

    def hold(self, share: CallerShare, size: int) -> None:
        """Record that ``share`` holds ``size`` bytes in all."""
        if share.is_released:
            return
        freed = share.size - size
        self.used -= freed
        share.size = size
        self._shares.add(share)
        if freed > 0 and self._waiting and not self._is_resuming:
            self._is_resuming = True
            asyncio.get_running_loop().call_soon(self._resume)

    def renew(self, share: CallerShare) -> None:
        """Record that a request of the connection has ended."""
        share.held_since = self._clock()
        if self._exempt is share:
            self._exempt = None

    def release(self, share: CallerShare) -> None:
        """Release all memory of a connection that has ended."""
        self.hold(share, 0)
        share.is_released = True
        self._shares.discard(share)
        self._waiting.pop(share, None)
        if self._exempt is share:
            self._exempt = None
        # Breaks the cycle of references to the connection.
        share.resume = _do_nothing
        share.give_up = _do_nothing

    def relieve(self) -> None:
        """Let connections give memory back, if necessary.

        That is so if others wait for too long, or more than allowed is in use.
        """
        now = self._clock()
        waiting_since = min(self._waiting.values(), default=now)
        is_late = now - waiting_since > _PATIENCE_S
        if is_late or self.find_free() < 0:
            self._reclaim(now)

    def find_free(self) -> float:
        """Return the bytes that are free; negative if too much is in use.

        What the exempt connection holds isn't counted.
        """
        exempt = 0 if self._exempt is None else self._exempt.size
        return self.limit - self.used + exempt

    def _has_room(self, share: CallerShare, size: int) -> bool:
        free = self.find_free()
        is_small_step = size - share.size <= free * _MAX_STEP_FRACTION
        if is_small_step and share.size <= free:
            return True
        if self._exempt is None:
            self._exempt = share
        return self._exempt is share

    def _reclaim(self, now: float) -> None:
        heaviest_first = sorted(
            self._shares,
            key=lambda share: share.find_weight(now),
            reverse=True,
        )
        for share in heaviest_first:
            if self.find_free() >= self.limit * _RELIEVED_FRACTION:
                return
            if share is not self._exempt:
                share.give_up()

    def _resume(self) -> None:
        self._is_resuming = False
        for share in tuple(self._waiting):
            if self._waiting.pop(share, None) is not None:
                share.resume()


def _do_nothing() -> None:
    """Release nothing."""
