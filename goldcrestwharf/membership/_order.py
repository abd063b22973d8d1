"""Order what is said of one member.

Records of one member form a join semilattice: a higher incarnation wins;
within an incarnation the worse state and the higher revision win, each by
itself. Merging is therefore commutative, associative and idempotent, and
nothing but a higher incarnation brings a member back.
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
    """Summarize how new a record is; equal keys mean equal records."""

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


def merge(known: Member, heard: Member) -> Member:
    """Return what both records of one member say together."""
    if known.incarnation != heard.incarnation:
        return max(known, heard, key=_incarnation)
    newer = max(known, heard, key=_content_order)
    state = max(known.state, heard.state, key=rank_of)
    return newer if newer.state is state else attrs.evolve(newer, state=state)


def _incarnation(record: Member) -> int:
    return record.incarnation


def _content_order(record: Member) -> tuple[int, str]:
    # Two processes can claim one incarnation after a clock jump; the text
    # makes all daemons choose the same one until the owner refutes.
    plain = attrs.evolve(record, state=MemberState.ALIVE)
    return record.revision, repr(plain)


def adds_to(heard: OrderKey, known: OrderKey) -> bool:
    """Tell whether a record under ``heard`` says what ``known`` lacks."""
    if heard.incarnation != known.incarnation:
        return heard.incarnation > known.incarnation
    return heard.revision > known.revision or heard.rank > known.rank
