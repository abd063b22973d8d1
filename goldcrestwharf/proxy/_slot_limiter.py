"""Slots that the local target is given, and what is learned of their use."""

from collections.abc import Callable

import attrs

from goldcrestwharf.admission import SlotScheduler
from goldcrestwharf.capacity import (
    CapacityLimit,
    ConcurrencyMeter,
    MeterReading,
    SlotOutcome,
    SlotSample,
)
from goldcrestwharf.discovery import Instance, InstanceTracker
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy import _slot_metrics
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.proxy._slot_queue import AttemptRun

_log = EventLog(__name__)


@attrs.frozen(kw_only=True)
class SlotUse:
    """Readings of the meters when a request took its slot.

    ``is_cold`` is set if the target was in its cold start.
    """

    slots: MeterReading
    calls: MeterReading
    is_cold: bool


class SlotLimiter:
    """Limiter of the slots of the local target.

    Where the configuration adapts to load, the slots are the learned limit;
    otherwise they are those that the target names. ``calls`` counts the calls
    of the target that are under way.
    """

    def __init__(
        self,
        *,
        scheduler: SlotScheduler,
        holder: PolicyHolder,
        instance_tracker: InstanceTracker,
        calls: ConcurrencyMeter,
        clock: Callable[[], float],
    ) -> None:
        """Resize ``scheduler``."""
        self._scheduler = scheduler
        self._holder = holder
        self._instance_tracker = instance_tracker
        self._calls = calls
        self._clock = clock
        self._in_use = ConcurrencyMeter(clock=clock)
        self._limit: CapacityLimit | None = None
        self._slots = scheduler.slots

    def apply_slots(self, slots: int) -> None:
        """Apply the slots that the target names in a heartbeat."""
        if slots != self._slots:
            self._slots = slots
            self._limit = None
        self._scheduler.resize(self._find_slots())
        _slot_metrics.record_slots(self._scheduler.slots)

    def reset(self) -> None:
        """Forget what is known, for a new process of the target."""
        self._limit = None

    def begin(self) -> SlotUse:
        """Record that a request takes a slot."""
        self._in_use.change(1)
        begin = self._in_use.read()
        return SlotUse(
            slots=begin,
            calls=self._calls.read(),
            is_cold=_is_cold(self._instance_tracker.current, begin.at),
        )

    def end(
        self, use: SlotUse, run: AttemptRun, outcome: Outcome | None
    ) -> None:
        """Learn from a request before its slot is released."""
        if self._holder.adapts_to_load:
            self._learn(use, run, outcome)
        else:
            self._limit = None
        self._in_use.change(-1)
        slots = self._find_slots()
        if slots != self._scheduler.slots:
            self._resize(slots)

    def _learn(
        self, use: SlotUse, run: AttemptRun, outcome: Outcome | None
    ) -> None:
        if self._limit is None:
            self._limit = CapacityLimit(slots=self._slots, clock=self._clock)
        now = self._clock()
        is_overdue = now >= run.deadline_at
        self._limit.record(
            SlotSample(
                request_class=run.attempt.request_class,
                duration=now - use.slots.at,
                in_use_at_start=use.slots.count,
                in_use_at_end=self._in_use.count,
                mean_in_use=self._in_use.mean_since(use.slots),
                mean_calls=self._calls.mean_since(use.calls),
                outcome=_find_slot_outcome(outcome, is_overdue=is_overdue),
                is_cold=use.is_cold,
            )
        )

    def _find_slots(self) -> int:
        if self._limit is None or not self._holder.adapts_to_load:
            return self._slots
        return self._limit.limit

    def _resize(self, slots: int) -> None:
        settled = self._slots if self._limit is None else self._limit.settled
        _log.note(
            'target.slots',
            slots=slots,
            before=self._scheduler.slots,
            named=self._slots,
            is_trial=slots != settled,
        )
        _slot_metrics.record_slots(slots)
        self._scheduler.resize(slots)


def _find_slot_outcome(
    outcome: Outcome | None, *, is_overdue: bool
) -> SlotOutcome:
    if isinstance(outcome, Ran) and not outcome.has_failed:
        return SlotOutcome.ANSWERED
    if isinstance(outcome, Lost) and is_overdue:
        return SlotOutcome.LATE
    return SlotOutcome.OTHER


def _is_cold(instance: Instance | None, now: float) -> bool:
    """Return whether the target is in its cold start."""
    if instance is None:
        return False
    return now < instance.last_seen_at + instance.heartbeat.slow_start_left
