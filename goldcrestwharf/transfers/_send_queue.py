"""Queue of the bodies that a daemon sends."""

import bisect
import itertools
from collections.abc import Callable
from typing import Protocol

import attrs

from goldcrestwharf.transfers._link_pace import PIECE_BYTES, LinkPace
from goldcrestwharf.transfers._rank import TransferRank

#: Seconds between two looks at channels whose buffers are full.
_POLL_INTERVAL_S = 0.005

#: Seconds without an acknowledged byte after which the bytes in a channel no
#: longer count against the window, so that a silent one doesn't block others.
_STALL_TIMEOUT_S = 0.2


class Channel(Protocol):
    """Connection that carries pieces."""

    def count_unsent(self) -> int:
        """Return the bytes written that the other end has not received."""


@attrs.define(kw_only=True, eq=False)
class OutgoingTransfer:
    """Body of ``size`` bytes on its way through ``channel``.

    ``send`` is called with the start and the end of each piece. ``granted``
    and ``sent`` are offsets in bytes.
    """

    size: int
    rank: TransferRank
    channel: Channel
    send: Callable[[int, int], None]
    granted: int = 0
    sent: int = 0
    sequence: int = 0

    @property
    def order(self) -> tuple[TransferRank, int]:
        """Return the sort key."""
        return (self.rank, self.sequence)

    @property
    def step(self) -> int:
        """Return the size of the next piece; zero if none may be sent."""
        return min(self.granted - self.sent, PIECE_BYTES)


@attrs.define(kw_only=True, eq=False)
class _ChannelState:
    """Unsent bytes of a channel, and when their number last fell."""

    unsent: int
    progressed_at: float

    def update(self, unsent: int, now: float) -> None:
        if unsent < self.unsent or not unsent:
            self.progressed_at = now
        self.unsent = unsent

    def is_stalled(self, now: float) -> bool:
        return now - self.progressed_at > _STALL_TIMEOUT_S


class SendQueue:
    """Bodies of one sender to all receivers, sent by rank as granted.

    The pace is that of the sender's link. Over all channels together, no
    more bytes are written ahead than its window, so that other messages
    don't wait long in the buffers of the kernel.
    """

    def __init__(self, *, link_rate: float, clock: Callable[[], float]) -> None:
        """Send what a link of ``link_rate`` bytes per second takes."""
        self.pace = LinkPace(link_rate=link_rate, clock=clock)
        self._clock = clock
        self._sequence = itertools.count()
        self._transfers: list[OutgoingTransfer] = []
        self._states: dict[Channel, _ChannelState] = {}

    def __len__(self) -> int:
        """Return the number of incomplete transfers."""
        return len(self._transfers)

    @property
    def backlog(self) -> int:
        """Return the bytes that are still to be sent."""
        return sum(one.size - one.sent for one in self._transfers)

    def find_time(self, size: float, rank: TransferRank) -> float:
        """Return the expected seconds until a new body has been sent."""
        ahead = sum(
            one.size - one.sent for one in self._transfers if one.rank <= rank
        )
        return self.pace.find_time(ahead + size)

    def add(self, transfer: OutgoingTransfer) -> None:
        """Add a transfer, which waits for its first grant."""
        transfer.sequence = next(self._sequence)
        bisect.insort(self._transfers, transfer, key=_find_order)

    def remove(self, transfer: OutgoingTransfer) -> None:
        """Remove a transfer that ended early."""
        if transfer in self._transfers:
            self._transfers.remove(transfer)

    def pump(self) -> float | None:
        """Send what may be sent now.

        Returns the seconds after which more may be sent, ``None`` if nothing
        is granted.
        """
        now = self._clock()
        self._update_states(now)
        is_left = False
        for transfer in tuple(self._transfers):
            if self._states[transfer.channel].is_stalled(now):
                is_left = is_left or bool(transfer.step)
                continue
            wait = self._send(transfer, now)
            if wait:
                return wait
        return _STALL_TIMEOUT_S if is_left else None

    def _send(self, transfer: OutgoingTransfer, now: float) -> float:
        """Send what is granted; return the wait if some must wait."""
        step = transfer.step
        while step:
            wait = self.pace.find_wait(step) or self._find_wait(step, now)
            if wait:
                return wait
            self.pace.take(step)
            self._states[transfer.channel].unsent += step
            start = transfer.sent
            transfer.sent += step
            transfer.send(start, transfer.sent)
            step = transfer.step
        if transfer.sent >= transfer.size:
            self.remove(transfer)
        return 0

    def _update_states(self, now: float) -> None:
        for transfer in self._transfers:
            if transfer.channel not in self._states:
                self._states[transfer.channel] = _ChannelState(
                    unsent=0, progressed_at=now
                )
        for channel, state in tuple(self._states.items()):
            state.update(channel.count_unsent(), now)
        needed = {transfer.channel for transfer in self._transfers}
        self._states = {
            channel: state
            for channel, state in self._states.items()
            if state.unsent or channel in needed
        }

    def _find_wait(self, step: int, now: float) -> float:
        unsent = sum(
            state.unsent
            for state in self._states.values()
            if not state.is_stalled(now)
        )
        if not unsent or unsent + step <= self.pace.window:
            return 0
        return _POLL_INTERVAL_S


def _find_order(transfer: OutgoingTransfer) -> tuple[TransferRank, int]:
    return transfer.order
