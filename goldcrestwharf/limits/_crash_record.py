"""Describe the evidence that a request kills its targets."""

import enum

import attrs

from goldcrestwharf.wire import message


class CrashRank(enum.IntEnum):
    """Tell how sure the judgement of a request is."""

    SUSPECTED = 0
    DOUBTFUL = 1
    CERTAIN = 2


@message('limits.crash_verdict')
@attrs.frozen(kw_only=True)
class CrashVerdict:
    """Tell a peer in which deaths of targets a request was in flight.

    ``deaths`` names the deaths and ``rank`` is a :class:`CrashRank`.
    ``refused_ms`` is the time for which the request is still refused, zero
    while it is merely suspected, and ``ttl_ms`` the time after which all
    this is forgotten. A higher ``edition`` replaces all lower ones: each
    lifting begins a new one.
    """

    fingerprint: str
    edition: int
    deaths: tuple[str, ...]
    rank: int
    refused_ms: int
    ttl_ms: int


#: Times of two daemons that differ by less are the same.
_SAME_TIME_S = 1


@attrs.frozen(kw_only=True)
class CrashRecord:
    """Hold the evidence with its times on the local clock, in seconds."""

    fingerprint: str
    edition: int = 0
    deaths: frozenset[str] = frozenset()
    rank: int = CrashRank.SUSPECTED
    refused_until: float = float('-inf')
    expires_at: float = float('-inf')

    @property
    def version(self) -> tuple[int, int]:
        """Return what orders records of the same deaths."""
        return (self.edition, self.rank)

    def is_current(self, now: float) -> bool:
        """Tell whether the evidence still counts."""
        return self.expires_at > now

    def is_like(self, other: 'CrashRecord') -> bool:
        """Tell whether both say the same, with times that hardly differ.

        Times are rounded on their way, so that two daemons would tell each
        other of ever smaller differences without end.
        """
        if (self.version, self.deaths) != (other.version, other.deaths):
            return False
        is_refusal_like = _are_close(self.refused_until, other.refused_until)
        return is_refusal_like and _are_close(self.expires_at, other.expires_at)

    def merge(self, other: 'CrashRecord') -> 'CrashRecord':
        """Return the joined evidence of two records of one request.

        The times of equal evidence never grow by going round among peers,
        so that it expires in the end.
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
    # Both are minus infinity where nothing is refused.
    return one == other or abs(one - other) < _SAME_TIME_S
