"""Memory for responses that are being received."""

from collections import Counter
from collections.abc import Callable

import attrs

#: Fraction of the memory of the process that responses may take, together
#: with the bodies and answers that are held otherwise. Half of it is kept for
#: responses, whatever the others take.
_FRACTION = 0.375
_KEPT_FRACTION = 0.5

#: Size up to which a response is never refused, in bytes.
_FLOOR_BYTES = 65_536


@attrs.define(kw_only=True, eq=False)
class ResponseShare:
    """Memory of one response; ``size`` is in bytes.

    ``group`` names the responses that probably come from the same source of a
    fault, such as those of a route. ``refuse`` is called if the response has
    to give its memory back; it must end the response. ``held_since`` is the
    time, in seconds, at which it first held memory.
    """

    group: str
    update: Callable[['ResponseShare', int], None]
    size: int = 0
    held_since: float = 0
    refuse: Callable[[], None] = attrs.field(default=lambda: None)

    def hold(self, size: int) -> None:
        """Hold ``size`` bytes in all; this response or others may be refused.

        A size of zero releases the memory.
        """
        self.update(self, size)


@attrs.frozen(kw_only=True)
class RefusedResponse:
    """A response that was refused; sizes in bytes.

    ``used`` is what all responses held, of ``allowed``.
    """

    group: str
    size: int
    used: int
    allowed: float


class ResponseMemory:
    """Memory that the responses on all connections may take together.

    Over the limit, the group that holds most loses responses: first the one
    that has held the most bytes for the longest time. So slow responses without
    end don't displace those that arrive whole. ``used`` is in bytes.
    """

    def __init__(
        self,
        *,
        memory_bytes: float,
        find_other_use: Callable[[], int],
        clock: Callable[[], float],
        report: Callable[[RefusedResponse], None],
    ) -> None:
        """Allow a fraction of ``memory_bytes``, with what else is held.

        ``find_other_use`` returns the bytes of other bodies and answers, and
        ``report`` is called for each refusal.
        """
        self.used = 0
        self._limit = memory_bytes * _FRACTION
        self._find_other_use = find_other_use
        self._clock = clock
        self._report = report
        self._shares: set[ResponseShare] = set()

    def open(self, group: str) -> ResponseShare:
        """Return a share without memory; release it by holding zero bytes."""
        return ResponseShare(group=group, update=self._update)

    def find_allowed(self) -> float:
        """Return the bytes that responses may take at present."""
        kept = self._limit * _KEPT_FRACTION
        if self.used <= kept:
            return kept
        return max(self._limit - self._find_other_use(), kept)

    def _update(self, share: ResponseShare, size: int) -> None:
        if not share.size:
            share.held_since = self._clock()
        self.used += size - share.size
        share.size = size
        if not size:
            self._shares.discard(share)
            return
        self._shares.add(share)
        allowed = self.find_allowed()
        while self.used > allowed:
            victim = self._find_victim()
            if victim is None:
                return
            self._refuse(victim, allowed)

    def _find_victim(self) -> ResponseShare | None:
        """Return the response to refuse; small ones are never refused."""
        large = [share for share in self._shares if share.size > _FLOOR_BYTES]
        if not large:
            return None
        sizes = Counter[str]()
        for share in large:
            sizes[share.group] += share.size
        group = max(sizes, key=sizes.__getitem__)
        now = self._clock()
        return max(
            (share for share in large if share.group == group),
            key=lambda share: (
                share.size * (now - share.held_since),
                share.size,
            ),
        )

    def _refuse(self, share: ResponseShare, allowed: float) -> None:
        refused = RefusedResponse(
            group=share.group,
            size=share.size,
            used=self.used,
            allowed=allowed,
        )
        self._update(share, 0)
        self._report(refused)
        share.refuse()
