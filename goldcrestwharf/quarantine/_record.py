"""Evidence that a request crashes its targets."""

import enum

import attrs


class CrashRank(enum.IntEnum):
    """Confidence that a request crashes its targets."""

    SUSPECTED = 0
    AMBIGUOUS = 1
    CONFIRMED = 2


@attrs.frozen(kw_only=True)
class CrashReport:
    """Report of the target deaths in which a request was in flight.

    ``deaths`` holds ids of the deaths and ``rank`` is a :class:`CrashRank`.
    ``refused_ms`` is how long the request is still refused, zero while it is
    only suspected, and ``ttl_ms`` how long until the report expires. A higher
    ``edition`` supersedes all lower ones; clearing a request starts a new
    edition.
    """

    fingerprint: str
    edition: int
    deaths: tuple[str, ...]
    rank: int
    refused_ms: int
    ttl_ms: int


#: Times of two daemons that differ by less are considered equal.
_TIME_TOLERANCE_S = 1


@attrs.frozen(kw_only=True)
class CrashRecord:
    """Deaths of a request, with times in seconds on the local clock."""

    fingerprint: str
    edition: int = 0
    deaths: frozenset[str] = frozenset()
    rank: int = CrashRank.SUSPECTED
    refused_until: float = float('-inf')
    expires_at: float = float('-inf')

    @property
    def version(self) -> tuple[int, int]:
        """Return the sort key for records of the same deaths."""
        return (self.edition, self.rank)

    def is_current(self, now: float) -> bool:
        """Return whether the record has not expired."""
        return self.expires_at > now

    def is_like(self, other: 'CrashRecord') -> bool:
        """Return whether both records agree, up to a small time difference.

        Times are rounded in transit, so with an exact comparison two daemons
        would keep sending each other ever smaller differences.
        """
        if (self.version, self.deaths) != (other.version, other.deaths):
            return False
        is_refusal_like = _are_close(self.refused_until, other.refused_until)
        return is_refusal_like and _are_close(self.expires_at, other.expires_at)

    def merge(self, other: 'CrashRecord') -> 'CrashRecord':
        """Return the combined record of two records of one request.

        Gossip never extends the times of equal records, so they eventually
        expire.
        """
        if self.edition != other.edition:
            return max(self, other, key=_version)
        if other.deaths == self.deaths:
            return self._merge_equal(other)
        if other.deaths < self.deaths:
            return self
        if other.deaths > self.deaths:
            return other
        return attrs.evolve(
            self,
            deaths=self.deaths | other.deaths,
            rank=max(self.rank, other.rank),
            refused_until=max(self.refused_until, other.refused_until),
            expires_at=max(self.expires_at, other.expires_at),
        )

    def _merge_equal(self, other: 'CrashRecord') -> 'CrashRecord':
        if self.rank != other.rank:
            return max(self, other, key=_version)
        return attrs.evolve(
            self,
            refused_until=min(self.refused_until, other.refused_until),
            expires_at=min(self.expires_at, other.expires_at),
        )


def _version(record: CrashRecord) -> tuple[int, int]:
    return record.version


def _are_close(one: float, other: float) -> bool:
    # Both are minus infinity if nothing is refused.
    return one == other or abs(one - other) < _TIME_TOLERANCE_S
