"""Model of one target in virtual time, with the scheduler of its slots.

Requests share the target: each proceeds at a speed that depends on how many
are in progress and on the time. It stands still while a call is under way.
"""

import math
import random
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Refusal, SlotRequest, SlotScheduler
from goldcrestwharf.capacity import (
    CapacityLimit,
    ConcurrencyMeter,
    MeterReading,
    SlotOutcome,
    SlotSample,
)

CALL_S = 0.05
CALL_SHARE = 0.7


@attrs.frozen(kw_only=True)
class RequestClass:
    """Class of requests; times in seconds."""

    name: str
    work: float
    objective: float
    deadline: float
    share: float
    sigma: float = 0.5
    calls: int = 1

    @property
    def slot_time(self) -> float:
        """Return the mean time in the slot: 2 in 100 take 6 times as long."""
        return self.work + self.calls * CALL_SHARE * CALL_S


CLASSES = (
    RequestClass(
        name='call',
        work=0.05,
        objective=0.3,
        deadline=0.8,
        share=0.35,
        sigma=0.3,
        calls=0,
    ),
    RequestClass(
        name='fetch', work=0.2, objective=0.9, deadline=1.5, share=0.5, calls=2
    ),
    RequestClass(
        name='history',
        work=0.7,
        objective=2.2,
        deadline=3,
        share=0.15,
        sigma=0.8,
    ),
)


@attrs.frozen(kw_only=True)
class Scene:
    """Target and load; functions of time take seconds."""

    slots: int = 7
    load: float = 0.9
    slowdown: Callable[[int], float] = lambda _: 1
    factor: Callable[[float], float] = lambda _: 1
    call_time: Callable[[float], float] = lambda _: CALL_S
    cold_until: float = 0
    #: Seconds between which the slow-down applies.
    slow_from: float = 0
    slow_until: float = math.inf
    #: Factor on the share of the longest class at a time.
    mix: Callable[[float], float] = lambda _: 1
    seconds: float = 90

    @property
    def rate(self) -> float:
        """Return the mean requests per second for the load."""
        levels = range(1, self.slots + 1)
        best = max(level / self.slowdown(level) for level in levels)
        mean = sum(kind.share * kind.slot_time for kind in CLASSES)
        return self.load * best / mean


@attrs.define(kw_only=True, eq=False)
class Run:
    """Request in progress; ``work`` is what is left of it, in seconds."""

    kind: RequestClass
    arrived_at: float
    work: float
    calls: list[float]
    call_ends_at: float | None = None
    began_at: float = 0
    slots_begin: MeterReading | None = None
    calls_begin: MeterReading | None = None


class TargetModel:
    """One run of a scene; ``limit`` learns, or ``fixed`` slots are used."""

    def __init__(
        self,
        scene: Scene,
        *,
        seed: int,
        make_limit: Callable[..., CapacityLimit] | None = CapacityLimit,
        fixed: int | None = None,
    ) -> None:
        self.now: float = 0
        self.in_time = 0
        self.answered = 0
        self._next_at: float = 0
        self.offered = 0
        self.limits: list[tuple[float, int]] = []
        self._scene = scene
        self._limit = make_limit and make_limit(
            slots=scene.slots, clock=self.clock
        )
        self.scheduler = SlotScheduler(
            slots=fixed or scene.slots, clock=self.clock
        )
        self._rng = random.Random(seed)
        self._running: list[Run] = []
        self._used = ConcurrencyMeter(clock=self.clock)
        self._calls = ConcurrencyMeter(clock=self.clock)

    def clock(self) -> float:
        return self.now

    def run(self, until: float = math.inf) -> 'TargetModel':
        while self.now < min(self._scene.seconds, until):
            ends_at = min(self._next_at, self.now + 0.05)
            for run in self._running:
                ends_at = min(ends_at, self._find_next(run))
            self._advance(ends_at)
            if self.now >= self._next_at:
                self._arrive()
                wave = 1 + 0.3 * math.sin(self.now * math.tau / 14)
                self._next_at += self._rng.expovariate(self._scene.rate * wave)
        return self

    @property
    def share(self) -> float:
        """Return the share of all requests that were in time."""
        return self.in_time / self.offered

    def _speed(self) -> float:
        slowdown: float = 1
        if self._scene.slow_from <= self.now < self._scene.slow_until:
            slowdown = self._scene.slowdown(len(self._running))
        return 1 / (slowdown * self._scene.factor(self.now))

    def _find_next(self, run: Run) -> float:
        deadline_at = run.arrived_at + run.kind.deadline
        next_at = run.call_ends_at
        if next_at is None:
            # A call begins when half of the work since the last one is done.
            until = run.work / 2 if run.calls else run.work
            next_at = self.now + until / self._speed()
        return max(min(next_at, deadline_at), self.now)

    def _advance(self, ends_at: float) -> None:
        done = (ends_at - self.now) * self._speed()
        due = [run for run in self._running if self._find_next(run) <= ends_at]
        for run in self._running:
            if run.call_ends_at is None:
                run.work = max(run.work - done, 0)
        self.now = ends_at
        for run in due:
            self._step(run)

    def _step(self, run: Run) -> None:
        if run.call_ends_at is not None:
            run.call_ends_at = None
            self._calls.change(-1)
        elif run.calls:
            run.call_ends_at = self.now + run.calls.pop()
            self._calls.change(1)
        if self.now >= run.arrived_at + run.kind.deadline - 1e-9:
            self._end(run, SlotOutcome.LATE)
        elif run.work <= 1e-9 and run.call_ends_at is None:
            self._end(run, SlotOutcome.ANSWERED)

    def _end(self, run: Run, outcome: SlotOutcome) -> None:
        if run.call_ends_at is not None:
            self._calls.change(-1)
        age = self.now - run.arrived_at
        time = self.now - run.began_at
        if outcome is SlotOutcome.ANSWERED:
            self.answered += 1
            self.in_time += age <= run.kind.objective
        assert run.slots_begin and run.calls_begin
        sample = SlotSample(
            request_class=run.kind.name,
            duration=time,
            in_use_at_start=run.slots_begin.count,
            in_use_at_end=self._used.count,
            mean_in_use=self._used.mean_since(run.slots_begin),
            mean_calls=self._calls.mean_since(run.calls_begin),
            outcome=outcome,
            is_cold=run.began_at < self._scene.cold_until,
        )
        self._running.remove(run)
        self._used.change(-1)
        if self._limit is not None:
            self._limit.record(sample)
            if self._limit.limit != self.scheduler.slots:
                self.limits.append((self.now, self._limit.limit))
                self.scheduler.resize(self._limit.limit)
        answered = outcome is SlotOutcome.ANSWERED
        self.scheduler.release(run.kind.name, time if answered else None)

    def _arrive(self) -> None:
        weights = [kind.share for kind in CLASSES]
        weights[-1] *= self._scene.mix(self.now)
        kind = self._rng.choices(CLASSES, weights)[0]
        scale = 6 if self._rng.random() < 0.02 else 1 / 1.1
        spread = self._rng.lognormvariate(-(kind.sigma**2) / 2, kind.sigma)
        calls = sum(self._rng.random() < CALL_SHARE for _ in range(kind.calls))
        run = Run(
            kind=kind,
            arrived_at=self.now,
            work=kind.work * scale * spread,
            calls=[self._scene.call_time(self.now) for _ in range(calls)],
        )
        self.offered += 1
        request = SlotRequest(
            request_class=kind.name,
            priority=1,
            objective_at=self.now + kind.objective,
            deadline_at=self.now + kind.deadline,
            decide=lambda refusal: self._decide(run, refusal),
        )
        refusal = self.scheduler.acquire(request)
        is_granted = refusal is None and not request.is_waiting
        if is_granted and run not in self._running:
            self._decide(run, None)

    def _decide(self, run: Run, refusal: Refusal | None) -> None:
        if refusal is None:
            run.began_at = self.now
            self._running.append(run)
            self._used.change(1)
            run.slots_begin = self._used.read()
            run.calls_begin = self._calls.read()
