"""Decide which daemons of an availability zone read from the store.

Answers bursts of changes in zones of many daemons on narrow links: a few
read each configuration whole, and the others get its changes from them.
"""

import hashlib
from collections.abc import Callable, Iterable

import attrs

#: Daemons of a zone that read; the loss of two or three of them at once
#: leaves others that know of each change.
_READERS = 4

#: The same for those whose link is narrow.
_NARROW_READERS = 2

#: Bytes a second below which a link is narrow: 300 KB, a configuration with
#: a thousand routes, take more than a tenth of a second there.
_NARROW_RATE = 3_000_000

#: Seconds for which a zone has to lack readers until a daemon on a narrow
#: link begins to read: more than a reader needs to connect anew, and less
#: than half of the shortest time in which a change has to be in force.
_PATIENCE_S = 1.0

#: Seconds more for each daemon before it in order, so that not all of a zone
#: read at once when its readers lose the store at the same moment.
_PATIENCE_EACH_S = 0.25


@attrs.frozen(kw_only=True)
class ReaderClaim:
    """State whether a daemon of the zone reads and gets the store's answers.

    ``link_rate`` is what its link carries, in bytes a second.
    """

    name: str
    link_rate: float
    reads: bool = True


class ReaderDuty:
    """Tell whether this daemon reads.

    Two daemons that both believe they have to read do no harm. One that
    loses the store stops its claim, and the next in order begin to read.
    """

    def __init__(
        self,
        *,
        name: str,
        link_rate: float,
        clock: Callable[[], float],
    ) -> None:
        """Start without contact to the store."""
        self.has_contact = False
        self._link_rate = link_rate
        self._rank = _find_rank(name, link_rate)
        self._clock = clock
        self._lacking_since: float | None = None

    def is_due(self, claims: Iterable[ReaderClaim]) -> bool:
        """Tell whether to read, given what others of the zone claim."""
        is_narrow = is_low_bandwidth_link(self._link_rate)
        better = [
            claim
            for claim in claims
            if _find_rank(claim.name, claim.link_rate) < self._rank
        ]
        reading = sum(claim.reads for claim in better)
        needed = _NARROW_READERS if is_narrow else _READERS
        if reading >= needed:
            self._lacking_since = None
            return False
        if not is_narrow or self.has_contact:
            return True
        return self._is_patience_over(len(better) - reading)

    def _is_patience_over(self, ahead: int) -> bool:
        now = self._clock()
        if self._lacking_since is None:
            self._lacking_since = now
        patience = _PATIENCE_S + ahead * _PATIENCE_EACH_S
        return now - self._lacking_since >= patience


def is_low_bandwidth_link(link_rate: float) -> bool:
    """Tell whether large messages hold up others on a link."""
    return link_rate < _NARROW_RATE


def _find_rank(name: str, link_rate: float) -> tuple[bool, bytes]:
    """Put wide links first; a hash spreads the duty over zones and names."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return (is_low_bandwidth_link(link_rate), digest)
