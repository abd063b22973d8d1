"""Keep the changes that are to be sent on with probes and answers."""

import itertools
import math

import attrs

from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._order import key_of
from goldcrestwharf.wire import encode, message

#: What msgpack adds around one byte string of some length.
_FRAMING_BYTES = 5

#: The length of the queue up to which each change is sent in full.
_FEW_CHANGES = 64

#: Changes looked at for one datagram.
_LOOK_AHEAD = 16


@message('membership.notice')
@attrs.frozen(kw_only=True)
class Notice:
    """Announce a record that is too large for a datagram."""

    vm: str
    incarnation: int
    revision: int
    rank: int


@message('membership.rumor')
@attrs.frozen(kw_only=True)
class Rumor:
    """Carry one changed record."""

    member: Member


@message('membership.accusation')
@attrs.frozen(kw_only=True)
class Accusation:
    """Tell a member that it counts as suspect or dead."""

    vm: str
    incarnation: int
    state: MemberState


@attrs.define(kw_only=True)
class _Pending:
    """Hold a packed change and how often it was sent."""

    packed: bytes
    sent: int = 0


class GossipQueue:
    """Send each change a bounded number of times, all in turn."""

    def __init__(self, *, capacity: int, largest: int) -> None:
        """Keep ``capacity`` changes of at most ``largest`` bytes each."""
        self._capacity = capacity
        self._largest = largest
        self._pending: dict[str, _Pending] = {}

    def put_record(self, record: Member, *, is_first: bool = False) -> None:
        """Send ``record`` on from now, in place of an earlier one.

        It travels with the next datagram if ``is_first`` is true.
        """
        packed = encode(Rumor(member=record))
        if len(packed) > self._largest:
            packed = encode(_make_notice(record))
        subject = f'vm {record.vm}'
        self.put(subject, packed)
        if is_first:
            first = {subject: self._pending.pop(subject)}
            self._pending = first | self._pending

    def put(self, subject: str, packed: bytes) -> None:
        """Send a change on in place of the earlier one of its subject."""
        self._pending.pop(subject, None)
        if len(self._pending) >= self._capacity:
            self._pending.pop(next(iter(self._pending)))
        self._pending[subject] = _Pending(packed=packed)

    def take(self, room: int, times: int) -> tuple[bytes, ...]:
        """Return changes of ``room`` bytes in all and count them as sent.

        A change leaves the queue once it was sent ``times`` times, or fewer
        while the queue is long: comparisons spread many changes for less.
        """
        crowding = max(len(self._pending) / _FEW_CHANGES, 1)
        chosen = self._choose(room)
        for subject in chosen:
            self._count(subject, math.ceil(times / crowding))
        return tuple(chosen.values())

    def __len__(self) -> int:
        """Return how many changes are still to be sent."""
        return len(self._pending)

    def _choose(self, room: int) -> dict[str, bytes]:
        chosen: dict[str, bytes] = {}
        for subject in itertools.islice(self._pending, _LOOK_AHEAD):
            packed = self._pending[subject].packed
            if len(packed) + _FRAMING_BYTES <= room:
                room -= len(packed) + _FRAMING_BYTES
                chosen[subject] = packed
        return chosen

    def _count(self, subject: str, times: int) -> None:
        change = self._pending.pop(subject)
        change.sent += 1
        if change.sent < times:
            self._pending[subject] = change


def _make_notice(record: Member) -> Notice:
    key = key_of(record)
    return Notice(
        vm=record.vm,
        incarnation=key.incarnation,
        revision=key.revision,
        rank=key.rank,
    )
