"""Comparison of a new version with the old one.

Both are compared on the same routes over the same time, so a failure that
comes from elsewhere, such as a failed call between services, shows in both.
"""

from collections.abc import Iterator

import attrs

from goldcrestwharf.rollouts._certainty import (
    FINAL,
    Certainty,
    find_log_doubt,
)
from goldcrestwharf.rollouts._evidence import Evidence, RouteEvidence
from goldcrestwharf.rollouts._fault_tests import (
    FAULT_TESTS,
    SLOW_TEST,
    Fault,
    FaultTest,
)

#: Name of all routes together in a finding.
ALL_ROUTES = '*'


@attrs.define(kw_only=True)
class Finding:
    """Difference on a route, with the counts behind it."""

    route: str
    fault: Fault
    answers: int = 0
    bad: int = 0
    old_answers: int = 0
    old_bad: int = 0

    def add(
        self, test: FaultTest, new: RouteEvidence, old: RouteEvidence
    ) -> None:
        """Add the counts of a test on a route."""
        slow = old.find_median() + test.slow_buckets
        counts = test.count(new, slow)
        base = test.count(old, slow)
        self.answers += counts.answers
        self.bad += counts.bad
        self.old_answers += base.answers
        self.old_bad += base.bad


def judge(new: Evidence, old: Evidence, certainty: Certainty) -> Finding | None:
    """Return in what the new version is worse, ``None`` without a sign.

    Each route is tested alone, and all together: a fault of all routes shows
    there first.
    """
    for route in (*new, ALL_ROUTES):
        for test in FAULT_TESTS:
            finding = _measure(test, route, new, old)
            if _is_significant(test, finding, certainty):
                return finding
    return None


def is_slow(evidence: Evidence, old: Evidence, route: str) -> bool:
    """Return whether one target alone looks slow on a route."""
    finding = _measure(SLOW_TEST, route, evidence, old)
    least = max(FINAL.min_bad, finding.answers * SLOW_TEST.allowed)
    return finding.bad >= least


def count_timed(evidence: Evidence, route: str) -> int:
    """Return the number of service times on a route."""
    routes = _list_routes(evidence, route)
    return sum(evidence[one].timed for one in routes)


def find_failure_share(evidence: Evidence, route: str) -> tuple[float, int]:
    """Return the share of failures on a route, and the number of answers."""
    answers, failures = 0, 0
    for one in _list_routes(evidence, route):
        answers += evidence[one].answers
        failures += evidence[one].failures
    return failures / max(answers, 1), answers


def _list_routes(evidence: Evidence, route: str) -> Iterator[str]:
    if route == ALL_ROUTES:
        yield from evidence
    elif route in evidence:
        yield route


def _measure(
    test: FaultTest, route: str, new: Evidence, old: Evidence
) -> Finding:
    """Return the counts of a test on a route, or on all of the new version."""
    finding = Finding(route=route, fault=test.fault)
    for one in _list_routes(new, route):
        finding.add(test, new[one], old.get(one, RouteEvidence()))
    return finding


def _is_significant(
    test: FaultTest, finding: Finding, certainty: Certainty
) -> bool:
    if finding.bad < certainty.min_bad or finding.bad > finding.answers:
        return False
    # A share that is known from few answers is assumed to be high.
    share = (finding.old_bad + 1 / 2) / (finding.old_answers + 1)
    expected = min(test.find_expected(share), 1)
    log_doubt = find_log_doubt(finding.bad, finding.answers, expected)
    weight = min(test.max_answers / finding.answers, 1)
    return log_doubt * weight > certainty.log_doubt
