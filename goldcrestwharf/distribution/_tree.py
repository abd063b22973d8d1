"""Arrange the daemons of a zone in a relay tree.

Each daemon computes the tree from its local view of the zone; views don't
have to agree. The daemons are ordered by a hash, the first few are readers
of the platform's log, and each of the others follows one before it in the
order, so that a tree computed from one view has no cycle. Views that differ
temporarily can form a cycle; the periodic comparison with random daemons
then still delivers new versions.
"""

import functools
import hashlib
from collections.abc import Sequence

import attrs

from goldcrestwharf.membership import Member

_SCORE_BYTES = 8

#: More than the daemons of all zones; the order is computed twice a second.
_MAX_CACHED_SCORES = 32_768


def order_members(members: Sequence[Member]) -> tuple[Member, ...]:
    """Return the members of one zone in the order of their hashes.

    The order of two members depends only on their VMs, so that a member that
    joins or leaves moves the others by at most one position.
    """
    return tuple(sorted(members, key=_score))


def _score(member: Member) -> bytes:
    return _score_of(member.zone, member.vm)


@functools.lru_cache(maxsize=_MAX_CACHED_SCORES)
def _score_of(zone: str, vm: str) -> bytes:
    name = f'relay {zone} {vm}'
    return hashlib.blake2b(name.encode(), digest_size=_SCORE_BYTES).digest()


@attrs.frozen(kw_only=True)
class RelayTree:
    """The tree of one zone: the readers and the parents of the others.

    ``ordered`` holds the members of the zone, this daemon included.
    """

    ordered: tuple[Member, ...]
    readers: int
    fan_out: int

    def is_reader(self, vm: str) -> bool:
        """Return whether the daemon of ``vm`` follows the log itself.

        A daemon that is not in the view follows the log, because it has no
        parent that would relay to it.
        """
        index = self._index_of(vm)
        return index is None or index < self.readers

    def parents(self, vm: str) -> tuple[Member, ...]:
        """Return the parents of the daemon of ``vm``, the preferred first.

        The second one is next to the first in the order and the rest are the
        readers, so that at least one is left after the loss of any two.
        """
        index = self._index_of(vm)
        if index is None or index < self.readers:
            return ()
        first = (index - self.readers) // self.fan_out
        second = first + 1 if first + 1 < index else first - 1
        indexes = [first, second, *range(self.readers)]
        unique = dict.fromkeys(index for index in indexes if index >= 0)
        return tuple(self.ordered[index] for index in unique)

    def depth(self, vm: str) -> int:
        """Return the number of relays between the log and the daemon."""
        index = self._index_of(vm) or 0
        hops = 0
        while index >= self.readers:
            index = (index - self.readers) // self.fan_out
            hops += 1
        return hops

    def _index_of(self, vm: str) -> int | None:
        for index, member in enumerate(self.ordered):
            if member.vm == vm:
                return index
        return None
