"""Election of the daemons of a zone that read from the store.

In zones with many daemons on low-bandwidth links, frequent changes would fill
the links. A few daemons read each whole configuration, and the others get the
changes from them.
"""

import functools
import hashlib
import math
from collections.abc import Callable, Iterable

import attrs

#: Number of readers of a zone. If two or three of them are lost at once, others
#: still learn of each change.
_READERS_PER_ZONE = 4

#: The same for daemons with low-bandwidth links.
_LOW_BANDWIDTH_READERS_PER_ZONE = 2

#: Bytes per second below which a link has low bandwidth. A configuration of
#: 300 KB, with a thousand routes, takes more than a tenth of a second there.
_LOW_BANDWIDTH_BYTES_PER_S = 3_000_000

#: Seconds for which a zone must lack readers before a daemon on a low-bandwidth
#: link starts to read: longer than a reader takes to reconnect, and less than
#: half of the shortest time in which a change has to be active.
_TAKEOVER_DELAY_S = 1.0

#: Additional seconds per daemon that ranks before it, so that not all daemons
#: of a zone start to read when its readers lose the store at the same time.
_TAKEOVER_DELAY_PER_RANK_S = 0.25

#: Seconds for which the claims of a zone are in doubt after a withdrawal that
#: leaves too few: what cuts one reader off may cut off others, which notice by
#: their timeouts.
_DOUBT_S = 3.0

#: Number of ranks kept in memory, for the daemons of a large zone. All are
#: compared several times a second.
_MAX_RANKS = 2048


@attrs.frozen(kw_only=True)
class ReaderClaim:
    """Whether a daemon of the zone reads the store and gets its answers.

    ``link_rate`` is the bandwidth of its link in bytes per second.
    ``is_suspect`` is set if it may be out of reach: it keeps its rank, but
    nothing is expected from it.
    """

    name: str
    link_rate: float
    reads: bool = True
    is_suspect: bool = False


class ReaderElection:
    """Election of this daemon as a reader.

    Two daemons that both consider themselves elected do no harm. A reader
    that loses the store withdraws its claim, and the next in rank takes over.
    ``is_lead`` is set if no daemon that ranks before this one reads,
    ``is_waiting`` while a read of this daemon waits for the next record, and
    ``is_zone_without_reader`` if neither it nor another daemon of the zone
    reads, as far as is known.
    """

    def __init__(
        self,
        *,
        name: str,
        link_rate: float,
        clock: Callable[[], float],
    ) -> None:
        """Create the election state of a daemon without store contact."""
        self.has_contact = False
        self.is_lead = False
        self.is_waiting = False
        self._reading = 0
        self._needed = (
            _LOW_BANDWIDTH_READERS_PER_ZONE
            if is_low_bandwidth_link(link_rate)
            else _READERS_PER_ZONE
        )
        self._link_rate = link_rate
        self._rank = _find_rank(name, link_rate)
        self._clock = clock
        self._missing_since: float | None = None
        self._doubted_until = -math.inf

    @property
    def is_zone_without_reader(self) -> bool:
        """Return whether versions have to come from other zones."""
        if self.has_contact:
            return False
        return not self._reading or self._clock() < self._doubted_until

    def doubt_readers(self) -> None:
        """Rely on no other readers for a while: one of them has withdrawn.

        A reader that hands over leaves as many as a zone needs.
        """
        if self._reading < self._needed:
            self._doubted_until = self._clock() + _DOUBT_S

    def should_read(self, claims: Iterable[ReaderClaim]) -> bool:
        """Return whether to read, given the claims of other daemons."""
        is_low_bandwidth = is_low_bandwidth_link(self._link_rate)
        known = tuple(claims)
        self._reading = sum(
            claim.reads and not claim.is_suspect for claim in known
        )
        better = [
            claim
            for claim in known
            if _find_rank(claim.name, claim.link_rate) < self._rank
        ]
        reading = sum(claim.reads for claim in better)
        self.is_lead = not reading
        if reading >= self._needed:
            self._missing_since = None
            return False
        if not is_low_bandwidth or self.has_contact:
            return True
        return self._is_delay_over(len(better) - reading)

    def _is_delay_over(self, ahead: int) -> bool:
        now = self._clock()
        if self._missing_since is None:
            self._missing_since = now
        delay = _TAKEOVER_DELAY_S + ahead * _TAKEOVER_DELAY_PER_RANK_S
        return now - self._missing_since >= delay


class ReaderWithdrawals:
    """Detection of other readers that lost the store and still run."""

    def __init__(self) -> None:
        """Start without a known reader."""
        self._reading: set[str] = set()

    def notice(self, claims: Iterable[ReaderClaim]) -> bool:
        """Return whether a reader of the last call doesn't read any more."""
        reads = {claim.name: claim.reads for claim in claims}
        lost = {name for name in self._reading if reads.get(name) is False}
        self._reading = {name for name in reads if reads[name]}
        return bool(lost)


def is_low_bandwidth_link(link_rate: float) -> bool:
    """Return whether large messages noticeably delay others on a link."""
    return link_rate < _LOW_BANDWIDTH_BYTES_PER_S


@functools.lru_cache(maxsize=_MAX_RANKS)
def _find_rank(name: str, link_rate: float) -> tuple[bool, bytes]:
    """Rank high-bandwidth links first, then by a hash of the name."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return (is_low_bandwidth_link(link_rate), digest)
