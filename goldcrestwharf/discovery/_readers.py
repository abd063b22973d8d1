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

#: Seconds after the start in which a daemon on a narrow link waits for
#: others that read; streams are up in some tenths of a second.
_PATIENCE_S = 1.0


@attrs.frozen(kw_only=True)
class ReaderClaim:
    """State that a daemon reads from the store and gets its answers.

    ``link_rate`` is what its link carries, in bytes a second.
    """

    name: str
    link_rate: float


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
        self._patient_until = clock() + _PATIENCE_S

    def is_due(self, claims: Iterable[ReaderClaim]) -> bool:
        """Tell whether to read, given who else of the zone does."""
        better = sum(
            _find_rank(claim.name, claim.link_rate) < self._rank
            for claim in claims
        )
        if not _is_narrow(self._link_rate):
            return better < _READERS
        is_patient = self._clock() < self._patient_until
        return better < _NARROW_READERS and not is_patient


def _is_narrow(link_rate: float) -> bool:
    return link_rate < _NARROW_RATE


def _find_rank(name: str, link_rate: float) -> tuple[bool, bytes]:
    """Put wide links first; a hash spreads the duty over zones and names."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return (_is_narrow(link_rate), digest)
