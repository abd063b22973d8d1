"""Order and merge the records of one member.

Records of one member form a join semilattice: a higher incarnation wins;
within an incarnation the worse state and the higher revision win, each by
itself. Merging is therefore commutative, associative and idempotent, and
only a higher incarnation makes a member alive again.
"""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

from goldcrestwharf.membership._model import Member, MemberState

_RANKS: Mapping[MemberState, int] = MappingProxyType(
    {state: rank for rank, state in enumerate(MemberState)},
)


@attrs.frozen
class OrderKey:
    """Key that orders records; equal keys mean equal records."""

    incarnation: int
    revision: int
    rank: int


def rank_of(state: MemberState) -> int:
    """Return the rank of ``state``; a higher one wins a merge."""
    return _RANKS[state]


def key_of(record: Member) -> OrderKey:
    """Return the order key of ``record``."""
    return OrderKey(
        record.incarnation,
        record.revision,
        rank_of(record.state),
    )


def merge(known: Member, received: Member) -> Member:
    """Return the join of two records of one member."""
    if known.incarnation != received.incarnation:
        return max(known, received, key=_incarnation)
    newer = max(known, received, key=_content_order)
    state = max(known.state, received.state, key=rank_of)
    return newer if newer.state is state else attrs.evolve(newer, state=state)


def _incarnation(record: Member) -> int:
    return record.incarnation


def _content_order(record: Member) -> tuple[int, str]:
    # Two processes can use the same incarnation after a clock jump; the
    # repr makes all daemons choose the same record until the member itself
    # refutes it.
    plain = attrs.evolve(record, state=MemberState.ALIVE)
    return record.revision, repr(plain)


def brings_update(received: OrderKey, known: OrderKey) -> bool:
    """Return whether a merge of ``received`` would change ``known``."""
    if received.incarnation != known.incarnation:
        return received.incarnation > known.incarnation
    return received.revision > known.revision or received.rank > known.rank
