"""Flow control by the receiver of bodies."""

import bisect
import itertools
from collections import deque
from collections.abc import Callable, Iterator

import attrs

from goldcrestwharf.transfers._link_pace import PIECE_BYTES, LinkPace
from goldcrestwharf.transfers._rank import TransferRank

#: Seconds after which a grant that its sender has not used no longer counts
#: against the window. A piece that is sent at once arrives within the window
#: and a round trip, together below 70 ms on a busy link between zones.
_GRANT_EXPIRY_S = 0.1


def _always() -> bool:
    return True


@attrs.define(kw_only=True, eq=False)
class IncomingTransfer:
    """Body of ``size`` bytes that another daemon wants to send.

    ``grant`` is called with the offset up to which the body may be sent.
    ``admit`` is asked before the first grant whether there is memory for the
    body. ``granted``, ``received`` and ``expired`` are offsets in bytes:
    unused grants up to ``expired`` don't count against the window.
    """

    size: int
    rank: TransferRank
    grant: Callable[[int], None]
    admit: Callable[[], bool] = _always
    granted: int = 0
    received: int = 0
    expired: int = 0
    sequence: int = 0
    _is_admitted: bool = False
    _grants: deque[tuple[float, int]] = attrs.field(factory=deque)

    @property
    def order(self) -> tuple[TransferRank, int]:
        """Return the sort key."""
        return (self.rank, self.sequence)

    @property
    def outstanding(self) -> int:
        """Return the granted bytes that are expected to arrive soon."""
        return self.granted - max(self.received, self.expired)

    @property
    def is_stalled(self) -> bool:
        """Return whether the sender has left grants unused."""
        return self.expired > self.received

    @property
    def step(self) -> int:
        """Return the size of the next grant; zero if none is due."""
        if self.is_stalled or not self._ask_admission():
            return 0
        return min(self.size - self.granted, PIECE_BYTES)

    def extend(self, step: int, now: float) -> None:
        """Grant ``step`` more bytes."""
        self.granted += step
        self._grants.append((now, self.granted))

    def expire(self, now: float) -> None:
        """Let unused grants expire."""
        while self._grants and self._is_over(self._grants[0], now):
            self.expired = self._grants.popleft()[1]

    def find_expiry(self, now: float) -> float | None:
        """Return the seconds until a grant expires or memory is asked for."""
        if not self._is_admitted:
            return _GRANT_EXPIRY_S
        if not self._grants:
            return None
        return max(self._grants[0][0] + _GRANT_EXPIRY_S - now, 0)

    def _is_over(self, grant: tuple[float, int], now: float) -> bool:
        granted_at, offset = grant
        return offset <= self.received or now >= granted_at + _GRANT_EXPIRY_S

    def _ask_admission(self) -> bool:
        self._is_admitted = self._is_admitted or self.admit()
        return self._is_admitted


class GrantScheduler:
    """Grants of one receiver over all its senders.

    Bytes are granted by rank, no faster than the pace of the receiver's link,
    and no more at once than its window. A sender may so have several pieces
    on the way, and other messages wait behind one window at most.
    """

    def __init__(self, *, link_rate: float, clock: Callable[[], float]) -> None:
        """Grant what a link of ``link_rate`` bytes per second takes."""
        self._pace = LinkPace(link_rate=link_rate, clock=clock)
        self._clock = clock
        self._sequence = itertools.count()
        self._transfers: list[IncomingTransfer] = []

    def __len__(self) -> int:
        """Return the number of incomplete transfers."""
        return len(self._transfers)

    @property
    def backlog(self) -> int:
        """Return the bytes that are still to arrive."""
        return sum(one.size - one.received for one in self._transfers)

    def find_time(self, size: int, rank: TransferRank) -> float:
        """Return the expected seconds until a new body has arrived.

        Bodies whose senders have left grants unused don't delay it.
        """
        ahead = sum(
            one.size - one.received
            for one in self._transfers
            if one.rank <= rank and not one.is_stalled
        )
        return self._pace.find_time(ahead + size)

    def add(self, transfer: IncomingTransfer) -> None:
        """Add a transfer; :meth:`pump` is due then."""
        transfer.sequence = next(self._sequence)
        bisect.insort(self._transfers, transfer, key=_find_order)

    def remove(self, transfer: IncomingTransfer) -> None:
        """Remove a transfer that ended early; :meth:`pump` is due then."""
        if transfer in self._transfers:
            self._transfers.remove(transfer)

    def record(self, transfer: IncomingTransfer, size: int) -> None:
        """Record received bytes; :meth:`pump` is due then."""
        transfer.received += size
        if transfer.received >= transfer.size:
            self.remove(transfer)

    def pump(self) -> float | None:
        """Grant what may be sent now.

        Returns the seconds after which more may be granted even if nothing
        arrives, ``None`` if that is not foreseeable.
        """
        now = self._clock()
        before = [one.granted for one in self._transfers]
        wait = self._extend_grants(now)
        for transfer, granted in zip(self._transfers, before, strict=True):
            if transfer.granted > granted:
                transfer.grant(transfer.granted)
        return wait

    def _extend_grants(self, now: float) -> float | None:
        for expiring in self._transfers:
            expiring.expire(now)
        outstanding = sum(one.outstanding for one in self._transfers)
        for transfer, step in _iterate_steps(self._transfers, self._pace):
            if outstanding and outstanding + step > self._pace.window:
                break
            wait = self._pace.find_wait(step)
            if wait:
                return wait
            self._pace.take(step)
            transfer.extend(step, now)
            outstanding += step
        return _find_next_expiry(self._transfers, now)


def _iterate_steps(
    transfers: list[IncomingTransfer], pace: LinkPace
) -> Iterator[tuple[IncomingTransfer, int]]:
    """Yield the grants that are due, in the order of the ranks.

    A transfer gets one window ahead of what has arrived, at most.
    """
    for transfer in transfers:
        step = transfer.step
        while step and _is_within(transfer, step, pace.window):
            yield transfer, step
            step = transfer.step


def _is_within(transfer: IncomingTransfer, step: int, window: float) -> bool:
    unused = transfer.granted - transfer.received
    return not unused or unused + step <= window


def _find_next_expiry(
    transfers: list[IncomingTransfer], now: float
) -> float | None:
    expiries = (one.find_expiry(now) for one in transfers)
    return min((one for one in expiries if one is not None), default=None)


def _find_order(transfer: IncomingTransfer) -> tuple[TransferRank, int]:
    return transfer.order
