"""Memory for bodies."""

from collections.abc import Callable

import attrs

#: Fraction of the memory of the process that bodies may take.
_BODY_FRACTION = 0.25

#: Bounds of the wait after a refusal for lack of memory, in seconds.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 1.0


class BodyBudget:
    """Memory that the bodies of all requests and answers may take together.

    ``limit`` and ``used`` are in bytes. One body is always allowed, even if
    it is larger than the limit.
    """

    def __init__(
        self,
        *,
        memory_bytes: float,
        link_rate: float,
        is_enabled: Callable[[], bool],
        count_refusal: Callable[[], None],
    ) -> None:
        """Allow a fraction of ``memory_bytes``.

        Memory becomes free as bodies leave over a link of ``link_rate`` bytes
        per second. ``count_refusal`` is called for each refusal.
        """
        self.limit = memory_bytes * _BODY_FRACTION
        self.used = 0
        self.is_enabled = is_enabled
        self._link_rate = link_rate
        self._count_refusal = count_refusal

    def has_room(self, size: int, *, held: int = 0) -> bool:
        """Return whether ``size`` bytes are free.

        ``held`` is what the same body has reserved before.
        """
        is_alone = self.used <= held
        return is_alone or self.used + size <= self.limit

    def reserve(self, size: int, *, held: int = 0) -> bool:
        """Reserve ``size`` bytes, or count a refusal and return ``False``.

        ``held`` is as for :meth:`has_room`.
        """
        if not self.has_room(size, held=held):
            self._count_refusal()
            return False
        self.used += size
        return True

    def add(self, size: int) -> None:
        """Reserve ``size`` bytes for a body that is already in memory."""
        self.used += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.used -= size

    def find_retry_after(self, size: int) -> float:
        """Return the seconds after which ``size`` bytes may be free."""
        missing = max(self.used + size - self.limit, 0)
        return min(max(missing / self._link_rate, _MIN_RETRY_S), _MAX_RETRY_S)


@attrs.define(kw_only=True, eq=False)
class AnswerMemory:
    """Memory for one answer that is received from another daemon.

    ``holders`` are the answers of all requests that have memory now.
    """

    budget: BodyBudget
    size: int
    holders: set['AnswerMemory']

    def admit(self) -> bool:
        """Return whether there is memory for the answer.

        One answer is always received: the requests that hold memory may all
        wait for theirs.
        """
        if self.holders and not self.budget.has_room(self.size):
            return False
        self.budget.add(self.size)
        self.holders.add(self)
        return True

    def release(self) -> None:
        """Release the memory if it was admitted."""
        if self in self.holders:
            self.holders.discard(self)
            self.budget.release(self.size)
