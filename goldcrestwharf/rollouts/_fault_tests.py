"""Tests for the faults that a new version may have."""

import enum
import math

import attrs

from goldcrestwharf.rollouts._evidence import BUCKETS_PER_OCTAVE, RouteEvidence

#: Share of failures that any version may have, and by how much a new one may
#: exceed the old one.
_ALLOWED_FAILURES = 0.01
_FAILURE_FACTOR = 1.5
_FAILURE_MARGIN = 0.005

#: The same for answers that take at least 2.4 times the old median. A machine
#: under interference takes up to 2.5 times as long, and the few targets of a
#: trial may be on slower machines.
_SLOW_BUCKETS = 3 * BUCKETS_PER_OCTAVE // 2
_ALLOWED_SLOW = 0.2
_SLOW_FACTOR = 2.0

#: The same for at least 3.4 times the old median: only slow machines under
#: interference get there.
_VERY_SLOW_BUCKETS = 2 * BUCKETS_PER_OCTAVE
_ALLOWED_VERY_SLOW = 0.08
_VERY_SLOW_MARGIN = 0.02

#: Number of service times that count at most: those of one machine at one time
#: are alike, so more of them prove no more.
_MAX_TIMES = 100


class Fault(enum.StrEnum):
    """In what a new version is worse."""

    FAILURES = 'failures'
    SLOW = 'slow'


@attrs.frozen(kw_only=True)
class Counts:
    """Answers on a route, and how many of them are bad."""

    answers: int
    bad: int


@attrs.frozen(kw_only=True)
class FaultTest:
    """Test for one fault.

    A new version may have the share ``allowed`` of bad answers in any case,
    and else ``factor`` times that of the old version plus ``margin``. An
    answer is slow from ``slow_buckets`` above the old median on. More than
    ``max_answers`` make a verdict no surer.
    """

    fault: Fault
    allowed: float
    factor: float
    margin: float = 0
    slow_buckets: int = 0
    max_answers: float = math.inf

    def find_expected(self, share: float) -> float:
        """Return the share that a new version may have, by the old one's."""
        return max(self.allowed, share * self.factor + self.margin)

    def count(self, counts: RouteEvidence, slow: int) -> Counts:
        """Return the answers that count, and the bad ones among them.

        ``slow`` is the bucket from which an answer is slow.
        """
        if self.fault is Fault.SLOW:
            return Counts(answers=counts.timed, bad=counts.count_slow(slow))
        return Counts(answers=counts.answers, bad=counts.failures)


SLOW_TEST = FaultTest(
    fault=Fault.SLOW,
    allowed=_ALLOWED_SLOW,
    factor=_SLOW_FACTOR,
    slow_buckets=_SLOW_BUCKETS,
    max_answers=_MAX_TIMES,
)

FAULT_TESTS = (
    FaultTest(
        fault=Fault.FAILURES,
        allowed=_ALLOWED_FAILURES,
        factor=_FAILURE_FACTOR,
        margin=_FAILURE_MARGIN,
    ),
    SLOW_TEST,
    FaultTest(
        fault=Fault.SLOW,
        allowed=_ALLOWED_VERY_SLOW,
        factor=_SLOW_FACTOR,
        margin=_VERY_SLOW_MARGIN,
        slow_buckets=_VERY_SLOW_BUCKETS,
        max_answers=_MAX_TIMES,
    ),
)
