"""Place the daemons of a zone in a relay tree.

Each daemon computes the tree from its own view of the zone; no two views
have to agree. The daemons are ordered by a hash, the first few are readers
of the platform's log, and each of the others follows one before it in the
order, so that a tree computed from one view has no cycle. Views that differ
for a moment can form one; the periodic comparison with random daemons
brings the news in all the same.
"""

import functools
import hashlib
from collections.abc import Sequence

import attrs

from goldcrestwharf.membership import Member

_SCORE_BYTES = 8

#: More than the daemons of all zones; the order is computed twice a second.
_KEPT_SCORES = 32_768


def order_members(members: Sequence[Member]) -> tuple[Member, ...]:
    """Return the members of one zone in the order of their hashes.

    The order of two members depends on nothing but their VMs, so that a
    member that comes or goes moves the others by one place at most.
    """
    return tuple(sorted(members, key=_score))


def _score(member: Member) -> bytes:
    return _score_of(member.zone, member.vm)


@functools.lru_cache(maxsize=_KEPT_SCORES)
def _score_of(zone: str, vm: str) -> bytes:
    name = f'relay {zone} {vm}'
    return hashlib.blake2b(name.encode(), digest_size=_SCORE_BYTES).digest()


@attrs.frozen(kw_only=True)
class RelayTree:
    """Answer who reads the log and who follows whom.

    ``ordered`` holds the members of the zone, this daemon included.
    """

    ordered: tuple[Member, ...]
    readers: int
    fan_out: int

    def is_reader(self, vm: str) -> bool:
        """Tell whether the daemon of ``vm`` follows the log itself.

        A daemon that is not in the view follows the log, for nobody else
        would relay to it.
        """
        place = self._place(vm)
        return place is None or place < self.readers

    def parents(self, vm: str) -> tuple[Member, ...]:
        """Return whom the daemon of ``vm`` follows, the preferred first.

        The second one stands beside the first in the order and the rest
        are the readers, so that the loss of any two relays leaves one.
        """
        place = self._place(vm)
        if place is None or place < self.readers:
            return ()
        first = (place - self.readers) // self.fan_out
        second = first + 1 if first + 1 < place else first - 1
        places = [first, second, *range(self.readers)]
        kept = dict.fromkeys(place for place in places if place >= 0)
        return tuple(self.ordered[place] for place in kept)

    def depth(self, vm: str) -> int:
        """Return the number of relays between the log and the daemon."""
        place = self._place(vm) or 0
        hops = 0
        while place >= self.readers:
            place = (place - self.readers) // self.fan_out
            hops += 1
        return hops

    def _place(self, vm: str) -> int | None:
        for place, member in enumerate(self.ordered):
            if member.vm == vm:
                return place
        return None
