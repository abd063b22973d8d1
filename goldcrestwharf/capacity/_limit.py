"""Concurrency limit of a target, learned from the use of its slots."""

import math
from collections.abc import Callable

from goldcrestwharf.capacity._demand import Demand
from goldcrestwharf.capacity._intervals import TrialInterval
from goldcrestwharf.capacity._sample import SlotOutcome, SlotSample
from goldcrestwharf.capacity._steps import find_higher, find_lower
from goldcrestwharf.capacity._time_model import TimeModel
from goldcrestwharf.capacity._trial import PhaseStats, Trial, Verdict

#: Least time in a slot of which the logarithm is taken, in seconds.
_MIN_TIME_S = 0.0001

#: Share of slot time spent waiting for calls above which the time of the
#: target itself can't be told from it.
_MAX_CALL_SHARE = 0.5

#: Shortest and longest interval between failed trials, in seconds. Failed
#: trials of lower limits cost throughput, so they soon become rare.
_DOWN_INTERVALS_S = (8.0, 60.0)
_UP_INTERVALS_S = (2.0, 16.0)

#: Seconds after which a lower limit is tested of which nothing is known. Most
#: targets have had less demand by then, which costs nothing.
_EXPLORE_AFTER_S = 10.0

#: Seconds after which a trial that proved nothing is repeated.
_REPEAT_S = 4.0


class CapacityLimit:
    """Number of requests that a target is given at once.

    It is at least 1 and never above the slots that the target names. Without
    evidence it equals them. ``clock`` returns monotonic seconds.
    """

    def __init__(self, *, slots: int, clock: Callable[[], float]) -> None:
        """Start at the slots that the target names."""
        self._clock = clock
        self.reset(slots)

    @property
    def limit(self) -> int:
        """Return the limit, that of a trial while one is running."""
        return self.settled if self._trial is None else self._trial.limit

    def reset(self, slots: int) -> None:
        """Forget what is known, for a new process of the target."""
        self.slots = slots
        self.settled = slots
        self._trial: Trial | None = None
        self._model = TimeModel()
        self._reset_at = self._clock()
        self._changed_at = self._reset_at
        self._demand = Demand(now=self._reset_at)
        self._down = TrialInterval(
            shortest=_DOWN_INTERVALS_S[0], longest=_DOWN_INTERVALS_S[1]
        )
        self._up = TrialInterval(
            shortest=_UP_INTERVALS_S[0], longest=_UP_INTERVALS_S[1]
        )

    def record(self, sample: SlotSample) -> None:
        """Learn from the release of a slot."""
        now = self._clock()
        before = self.limit
        self._demand.record(is_full=sample.in_use_at_end >= before, now=now)
        if self._demand.is_outdated(now):
            self.settled = self.slots
        if sample.is_cold:
            self._trial = None
        else:
            self._learn(sample, now)
        if self.limit != before:
            self._changed_at = now

    def _learn(self, sample: SlotSample, now: float) -> None:
        excess = self._find_excess(sample, now)
        trial = self._trial
        if trial is None:
            self._trial = self._find_trial(now)
            return
        if excess is None:
            trial.check(now)
        else:
            trial.record(
                began_at=now - sample.duration,
                in_use=sample.mean_in_use,
                excess=excess,
                now=now,
            )
        if trial.verdict is not None:
            self._finish_trial(trial, trial.verdict, now)

    def _find_excess(self, sample: SlotSample, now: float) -> float | None:
        """Return the logarithm of the time over that of the class."""
        share = sample.call_share
        if sample.outcome is SlotOutcome.OTHER or share > _MAX_CALL_SHARE:
            return None
        if now - sample.duration < self._changed_at:
            # It ran under two limits, and says little of either.
            return None
        return self._model.record(
            sample.request_class,
            round(sample.mean_in_use),
            math.log(max(sample.duration * (1 - share), _MIN_TIME_S)),
        )

    def _find_trial(self, now: float) -> Trial | None:
        if not self._demand.is_high:
            return None
        if self.settled < self.slots and self._up.is_due(now):
            return _make_trial_up(self.settled, self.slots, now)
        if self._down.is_due(now):
            return self._make_trial_down(now)
        return None

    def _make_trial_down(self, now: float) -> Trial | None:
        limit = self.settled
        usual = self._model.find_slowdown(limit)
        explores = now - self._reset_at > _EXPLORE_AFTER_S
        lower = find_lower(limit, self._model, explores=explores)
        if usual is None or lower is None:
            return None
        return Trial(base=limit, tested=lower, now=now, usual_excess=usual)

    def _finish_trial(self, trial: Trial, verdict: Verdict, now: float) -> None:
        self._trial = None
        interval = self._down if trial.is_down else self._up
        if verdict is Verdict.UNKNOWN:
            interval.postpone(now + _REPEAT_S)
        elif verdict is Verdict.REJECTED:
            interval.record_failure(now)
        else:
            self._adopt(trial, now)

    def _adopt(self, trial: Trial, now: float) -> None:
        self.settled = trial.tested
        if trial.is_down:
            self._down.reset()
            self._up.reset(now + _UP_INTERVALS_S[0])
            return
        self._up.reset()
        if self.settled < self.slots:
            self._trial = _make_trial_up(
                self.settled, self.slots, now, trial.stats
            )


def _make_trial_up(
    limit: int, slots: int, now: float, base_stats: PhaseStats | None = None
) -> Trial:
    return Trial(
        base=limit,
        tested=find_higher(limit, slots),
        now=now,
        base_stats=base_stats,
    )
