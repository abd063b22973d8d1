"""Queue the changes that are piggybacked on probes and acks."""

import itertools
import math

import attrs

from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._order import key_of
from goldcrestwharf.wire import encode, message

#: Bytes that msgpack adds to one byte string, at most.
_FRAMING_BYTES = 5

#: Queue length up to which each change is sent the full number of times.
_MAX_FULL_RATE_CHANGES = 64

#: Changes considered for one datagram.
_MAX_SCANNED_CHANGES = 16


@message('membership.notice')
@attrs.frozen(kw_only=True)
class RecordNotice:
    """Order key of a changed record that is too large for a datagram."""

    vm: str
    incarnation: int
    revision: int
    rank: int


@message('membership.rumor')
@attrs.frozen(kw_only=True)
class Rumor:
    """One changed record."""

    member: Member


@message('membership.accusation')
@attrs.frozen(kw_only=True)
class SuspicionNotice:
    """Notice to a member that it counts as suspect or dead."""

    vm: str
    incarnation: int
    state: MemberState


@attrs.define(kw_only=True)
class _PendingChange:
    """Encoded change and how often it was sent."""

    packed: bytes
    send_count: int = 0


class GossipQueue:
    """Changes to send, each a limited number of times, in turn."""

    def __init__(self, *, capacity: int, max_change_bytes: int) -> None:
        """Hold ``capacity`` changes of ``max_change_bytes`` each at most."""
        self._capacity = capacity
        self._max_change_bytes = max_change_bytes
        self._pending: dict[str, _PendingChange] = {}

    def put_record(self, record: Member, *, is_first: bool = False) -> None:
        """Queue ``record`` in place of an earlier one of its member.

        It is sent with the next datagram if ``is_first`` is true.
        """
        packed = encode(Rumor(member=record))
        if len(packed) > self._max_change_bytes:
            packed = encode(_make_notice(record))
        subject = f'vm {record.vm}'
        self.put(subject, packed)
        if is_first:
            first = {subject: self._pending.pop(subject)}
            self._pending = first | self._pending

    def put(self, subject: str, packed: bytes) -> None:
        """Queue a change in place of the earlier one of its subject."""
        self._pending.pop(subject, None)
        if len(self._pending) >= self._capacity:
            self._pending.pop(next(iter(self._pending)))
        self._pending[subject] = _PendingChange(packed=packed)

    def take(self, free_bytes: int, max_sends: int) -> tuple[bytes, ...]:
        """Return changes that fit in ``free_bytes`` and count them as sent.

        A change leaves the queue once it was sent ``max_sends`` times, or
        fewer while the queue is long: comparisons spread many changes at a
        lower cost.
        """
        backlog_ratio = max(len(self._pending) / _MAX_FULL_RATE_CHANGES, 1)
        chosen = self._choose(free_bytes)
        for subject in chosen:
            self._count_send(subject, math.ceil(max_sends / backlog_ratio))
        return tuple(chosen.values())

    def __len__(self) -> int:
        """Return how many changes are still to be sent."""
        return len(self._pending)

    def _choose(self, free_bytes: int) -> dict[str, bytes]:
        chosen: dict[str, bytes] = {}
        for subject in itertools.islice(self._pending, _MAX_SCANNED_CHANGES):
            packed = self._pending[subject].packed
            if len(packed) + _FRAMING_BYTES <= free_bytes:
                free_bytes -= len(packed) + _FRAMING_BYTES
                chosen[subject] = packed
        return chosen

    def _count_send(self, subject: str, max_sends: int) -> None:
        change = self._pending.pop(subject)
        change.send_count += 1
        if change.send_count < max_sends:
            self._pending[subject] = change


def _make_notice(record: Member) -> RecordNotice:
    key = key_of(record)
    return RecordNotice(
        vm=record.vm,
        incarnation=key.incarnation,
        revision=key.revision,
        rank=key.rank,
    )
