"""Trial of another concurrency limit against the present one.

What is observed without a trial proves nothing: a fault makes requests slow
and, as they take longer, raises the concurrency as well. A trial sets the
limit, so the concurrency is the cause of what changes with it.
"""

import enum
import math

import attrs

#: Requests and seconds that each phase of a trial lasts at least, and the
#: seconds after which a phase without enough requests ends the trial.
_MIN_SAMPLES = 20
_MIN_PHASE_S = 1.5
_MAX_PHASE_S = 6.0

#: Requests after which a trial ends that looks hopeless, and the logarithm of
#: the ratio of throughputs at which it does.
_ABORT_SAMPLES = 8
_ABORT_RATIO = -0.2

#: Least logarithm of the ratio of throughputs at which a lower limit is
#: adopted, and for a higher one its share of that of the numbers in use.
_MIN_RATIO_DOWN = 0
_MIN_SHARE_UP = 0.25

#: Least ratio to either phase beside that of a lower limit. It allows for
#: noise and still refuses what only the end of a fault made faster.
_MIN_RATIO_OF_PHASE = -0.15

#: Fraction of a limit that must have been in use, and factor between the two
#: limits in use; below them there was too little demand to compare.
_MIN_USE = 0.85
_MIN_USE_RATIO = 1.15

#: Excess over what is known of the present limit from which something else
#: than the concurrency makes the target slow, such as a fault.
_MAX_UNUSUAL_EXCESS = 0.4


class Verdict(enum.StrEnum):
    """Result of a trial; ``UNKNOWN`` if demand or requests were missing."""

    ADOPTED = 'adopted'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'


@attrs.define(kw_only=True)
class PhaseStats:
    """Sums over the requests that began and ended in one phase.

    ``excess`` is the logarithm of the time over that of the class.
    """

    count: int = 0
    in_use: float = 0
    excess: float = 0

    @property
    def mean_in_use(self) -> float:
        """Return the mean concurrency."""
        return self.in_use / self.count

    @property
    def mean_excess(self) -> float:
        """Return the mean excess."""
        return self.excess / self.count

    def record(self, in_use: float, excess: float) -> None:
        """Add a request."""
        self.count += 1
        self.in_use += in_use
        self.excess += excess


def compare(base: PhaseStats, tested: PhaseStats) -> float:
    """Return the logarithm of the throughput of ``tested`` over ``base``.

    Throughput is the concurrency divided by the time of a request.
    """
    concurrency = math.log(tested.mean_in_use / base.mean_in_use)
    return concurrency + base.mean_excess - tested.mean_excess


class Trial:
    """Phases at the present and at the tested limit.

    A lower limit must be better than the present one before and after it:
    the end of a fault during the trial would make it look better than the
    phase before. A higher limit is adopted at once. ``verdict`` is ``None``
    until the trial has ended.
    """

    def __init__(
        self,
        *,
        base: int,
        tested: int,
        now: float,
        usual_excess: float = math.inf,
        base_stats: PhaseStats | None = None,
    ) -> None:
        """Begin with a phase at ``base``, unless its statistics are known.

        ``usual_excess`` is what is known of requests at ``base``.
        """
        self.base = base
        self.tested = tested
        self.verdict: Verdict | None = None
        self.stats = PhaseStats()
        self._began_at = now
        self._usual_excess = usual_excess
        self._ended: list[PhaseStats] = []
        self._is_testing = base_stats is not None
        if base_stats is not None:
            self._ended.append(base_stats)

    @property
    def is_down(self) -> bool:
        """Return whether the tested limit is the lower one."""
        return self.tested < self.base

    @property
    def limit(self) -> int:
        """Return the limit of the current phase."""
        return self.tested if self._is_testing else self.base

    def record(
        self, *, began_at: float, in_use: float, excess: float, now: float
    ) -> None:
        """Add a request that took its slot at ``began_at``."""
        if began_at >= self._began_at:
            self.stats.record(in_use, excess)
        self.check(now)

    def check(self, now: float) -> None:
        """End the phase if it has lasted long enough, or too long."""
        elapsed = now - self._began_at
        is_complete = self.stats.count >= _MIN_SAMPLES
        if is_complete and elapsed >= _MIN_PHASE_S:
            self._end_phase(now)
        elif elapsed > _MAX_PHASE_S:
            self.verdict = Verdict.UNKNOWN
        elif self._is_hopeless():
            self.verdict = Verdict.REJECTED

    def _end_phase(self, now: float) -> None:
        self.verdict = self._judge()
        if self.verdict is None:
            self._ended.append(self.stats)
            self._is_testing = len(self._ended) == 1
            self.stats = PhaseStats()
            self._began_at = now

    def _judge(self) -> Verdict | None:
        """Return the verdict after a phase, ``None`` to go on."""
        if len(self._ended) > 1:
            return self._judge_repeat(self._ended[0], self._ended[1])
        if self._is_testing and not self.is_down:
            return self._judge_higher(self._ended[0])
        if self.stats.mean_in_use < self.limit * _MIN_USE:
            return Verdict.UNKNOWN
        if self._is_testing:
            ratio = compare(self._ended[0], self.stats)
            return None if ratio >= _MIN_RATIO_OF_PHASE else Verdict.REJECTED
        unusual = self.stats.mean_excess - self._usual_excess
        return Verdict.UNKNOWN if unusual > _MAX_UNUSUAL_EXCESS else None

    def _judge_higher(self, base: PhaseStats) -> Verdict:
        """Return the verdict on a higher limit, by what was in use of it."""
        in_use = self.stats.mean_in_use / base.mean_in_use
        if in_use < _MIN_USE_RATIO:
            return Verdict.UNKNOWN
        is_better = (
            compare(base, self.stats) >= math.log(in_use) * _MIN_SHARE_UP
        )
        return Verdict.ADOPTED if is_better else Verdict.REJECTED

    def _judge_repeat(self, before: PhaseStats, tested: PhaseStats) -> Verdict:
        """Return the verdict after the second phase at the present limit."""
        if self.stats.mean_in_use < tested.mean_in_use * _MIN_USE_RATIO:
            return Verdict.UNKNOWN
        ratios = (compare(before, tested), compare(self.stats, tested))
        is_better = sum(ratios) / len(ratios) >= _MIN_RATIO_DOWN
        if min(ratios) < _MIN_RATIO_OF_PHASE:
            return Verdict.REJECTED
        return Verdict.ADOPTED if is_better else Verdict.UNKNOWN

    def _is_hopeless(self) -> bool:
        if not self._is_testing or self.stats.count < _ABORT_SAMPLES:
            return False
        return compare(self._ended[0], self.stats) < _ABORT_RATIO
