"""Counts of answers, failures and service times, by version and route."""

import math
from collections.abc import Iterable, Mapping

import attrs

#: Upper bound of the first bucket of service times, in seconds.
_FIRST_BOUND_S = 0.005

#: Buckets for each doubling of the time, and their number: up to 20 s.
BUCKETS_PER_OCTAVE = 4
BUCKETS = 49


@attrs.define(kw_only=True)
class RouteEvidence:
    """Answers on one route; ``failures`` of them failed or were lost.

    ``times`` counts the service times of successes by their bucket, without
    those during a slow start.
    """

    answers: int = 0
    failures: int = 0
    times: dict[int, int] = attrs.field(factory=dict)

    def add(self, other: 'RouteEvidence', sign: int = 1) -> None:
        """Add the counts of ``other``, or subtract them."""
        self.answers += sign * other.answers
        self.failures += sign * other.failures
        for bucket, count in other.times.items():
            known = self.times.get(bucket, 0)
            self.times[bucket] = known + sign * count

    @property
    def timed(self) -> int:
        """Return the number of service times."""
        return sum(self.times.values())

    def find_median(self) -> int:
        """Return the bucket of the median, one above all if unknown."""
        half = self.timed / 2
        total = 0
        for bucket, count in sorted(self.times.items()):
            total += count
            if total > half:
                return bucket
        return BUCKETS

    def count_slow(self, bucket: int) -> int:
        """Return the number of service times from a bucket on."""
        return sum(
            count for slow, count in self.times.items() if slow >= bucket
        )


#: Evidence about one version by route.
Evidence = Mapping[str, RouteEvidence]


class EvidenceCounter:
    """Totals of one target since an order, by version and route."""

    def __init__(self) -> None:
        """Start without answers."""
        self.by_version: dict[str, dict[str, RouteEvidence]] = {}

    def record(
        self,
        version: str,
        route: str,
        *,
        has_failed: bool,
        service_time: float | None,
    ) -> None:
        """Count an answer; ``service_time`` is in seconds, if it counts."""
        routes = self.by_version.setdefault(version, {})
        counts = routes.setdefault(route, RouteEvidence())
        counts.answers += 1
        counts.failures += has_failed
        if service_time is not None and not has_failed:
            bucket = find_bucket(service_time)
            counts.times[bucket] = counts.times.get(bucket, 0) + 1


def find_bucket(service_time: float) -> int:
    """Return the bucket of a service time in seconds."""
    octaves = math.log2(max(service_time / _FIRST_BOUND_S, 1))
    return min(int(octaves * BUCKETS_PER_OCTAVE), BUCKETS - 1)


def add_up(parts: Iterable[Evidence]) -> dict[str, RouteEvidence]:
    """Return the sum of the evidence of several targets."""
    total: dict[str, RouteEvidence] = {}
    for part in parts:
        for route, counts in part.items():
            total.setdefault(route, RouteEvidence()).add(counts)
    return total


def subtract(evidence: Evidence, earlier: Evidence) -> dict[str, RouteEvidence]:
    """Return what was added since ``earlier``."""
    rest = add_up((evidence,))
    for route, counts in earlier.items():
        rest.setdefault(route, RouteEvidence()).add(counts, -1)
    return rest


def count_answers(evidence: Evidence) -> int:
    """Return the number of answers on all routes."""
    return sum(counts.answers for counts in evidence.values())


def count_failures(evidence: Evidence) -> int:
    """Return the number of failures on all routes."""
    return sum(counts.failures for counts in evidence.values())
