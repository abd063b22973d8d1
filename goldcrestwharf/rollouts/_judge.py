"""Comparison of a new version with the old one.

Both are compared on the same routes over the same time, so a failure that
comes from elsewhere, such as a failed call between services, shows in both.
"""

import enum

import attrs

from goldcrestwharf.rollouts._certainty import (
    EARLY,
    Certainty,
    find_log_doubt,
)
from goldcrestwharf.rollouts._evidence import (
    BUCKETS,
    BUCKETS_PER_OCTAVE,
    Evidence,
    RouteEvidence,
)

#: Share of failures that any version may have, and the factor by which a new
#: one may exceed the old one.
_MIN_FAILURE_SHARE = 0.02
_FAILURE_FACTOR = 1.5

#: Buckets above the old median from which an answer is slow: at least 2.4
#: times the median. A machine under interference takes up to 2.5 times as long.
_SLOW_BUCKETS = 5 * BUCKETS_PER_OCTAVE // 4 + 1

#: Share of slow answers that a new version may have in any case, since its few
#: targets in a trial may be slower machines.
_MIN_SLOW_SHARE = 0.2
_SLOW_FACTOR = 2.0


class Fault(enum.StrEnum):
    """In what a new version is worse."""

    FAILURES = 'failures'
    SLOW = 'slow'


@attrs.frozen(kw_only=True)
class Finding:
    """Significant difference on a route, with the counts behind it."""

    route: str
    fault: Fault
    answers: int
    bad: int
    old_answers: int
    old_bad: int


def judge(new: Evidence, old: Evidence, certainty: Certainty) -> Finding | None:
    """Return in what the new version is worse, ``None`` without a sign."""
    for route, counts in new.items():
        base = old.get(route, RouteEvidence())
        for find in (_find_failures, _find_slow):
            finding = find(route, counts, base)
            if _is_significant(finding, certainty):
                return finding
    return None


def is_slow(counts: RouteEvidence, base: RouteEvidence) -> bool:
    """Return whether one target alone looks slow."""
    finding = _find_slow('', counts, base)
    return finding.bad >= max(EARLY.min_bad, finding.answers * _MIN_SLOW_SHARE)


def _find_failures(
    route: str, counts: RouteEvidence, base: RouteEvidence
) -> Finding:
    return Finding(
        route=route,
        fault=Fault.FAILURES,
        answers=counts.answers,
        bad=counts.failures,
        old_answers=base.answers,
        old_bad=base.failures,
    )


def _find_slow(
    route: str, counts: RouteEvidence, base: RouteEvidence
) -> Finding:
    slow = _find_median(base) + _SLOW_BUCKETS
    return Finding(
        route=route,
        fault=Fault.SLOW,
        answers=counts.timed,
        bad=counts.count_slow(slow),
        old_answers=base.timed,
        old_bad=base.count_slow(slow),
    )


def _find_median(base: RouteEvidence) -> int:
    """Return the bucket of the median, one above all others if unknown."""
    half = base.timed / 2
    total = 0
    for bucket, count in sorted(base.times.items()):
        total += count
        if total > half:
            return bucket
    return BUCKETS


def _is_significant(finding: Finding, certainty: Certainty) -> bool:
    if finding.bad < certainty.min_bad or finding.bad > finding.answers:
        return False
    # A share that is known from few answers is assumed to be high.
    share = (finding.old_bad + 1 / 2) / (finding.old_answers + 1)
    expected = _find_expected(finding.fault, share)
    log_doubt = find_log_doubt(finding.bad, finding.answers, expected)
    return log_doubt > certainty.log_doubt


def _find_expected(fault: Fault, share: float) -> float:
    """Return the share of bad answers that a new version may have."""
    if fault is Fault.SLOW:
        return max(_MIN_SLOW_SHARE, share * _SLOW_FACTOR)
    allowance = _MIN_FAILURE_SHARE / 2
    return max(_MIN_FAILURE_SHARE, share * _FAILURE_FACTOR + allowance)
