"""Driver of one scheduler over virtual time, and loads for it."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from functools import partial

import attrs

from goldcrestwharf.admission import Refusal, SlotRequest, SlotScheduler
from test.helper import make_rng

SLOTS = 7

#: Spread of service times: 9 in 10 are below 1.5 times the mean.
SIGMA = 0.4


@attrs.frozen(kw_only=True)
class Kind:
    """Request class; times are in seconds."""

    name: str
    work: float
    objective: float
    deadline: float
    priority: int = 1


@attrs.define(kw_only=True, eq=False)
class Sent:
    """Request with its outcome."""

    kind: Kind
    at: float
    work: float
    workspace: str = ''
    started_at: float | None = None
    ended_at: float | None = None
    cut_at: float | None = None
    refused_at: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Return whether it was answered by its objective."""
        objective_at = self.at + self.kind.objective
        return self.ended_at is not None and self.ended_at <= objective_at


class Clock:
    """Clock that the driver sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class FirstComeScheduler:
    """Queue in the order of arrival, with nothing refused early."""

    def __init__(self, *, slots: int) -> None:
        self.in_use = 0
        self._slots = slots
        self._queue: deque[SlotRequest] = deque()

    def acquire(self, request: SlotRequest) -> None:
        request.expires_at = request.deadline_at
        request.is_waiting = self.in_use >= self._slots
        if request.is_waiting:
            self._queue.append(request)
        else:
            self.in_use += 1

    def cancel(self, request: SlotRequest) -> None:
        request.is_waiting = False

    def release(
        self,
        request_class: str,
        service_time: float | None,
        cut_after: float | None = None,
    ) -> None:
        self.in_use -= 1
        while self._queue and self.in_use < self._slots:
            request = self._queue.popleft()
            if request.is_waiting:
                request.is_waiting = False
                self.in_use += 1
                request.decide(None)


Scheduler = SlotScheduler | FirstComeScheduler
Rules = Callable[[Clock], Scheduler]


def fair(weights: Mapping[str, float] | None = None) -> Rules:
    """Return the rules that adapt to load."""
    known = weights or {}
    return lambda clock: SlotScheduler(
        slots=SLOTS,
        clock=clock,
        adapts=lambda: True,
        find_weight=lambda name: known.get(name, 1),
    )


def present(clock: Clock) -> Scheduler:
    """Return the rules of configurations that don't adapt to load."""
    return SlotScheduler(slots=SLOTS, clock=clock)


def first_come(_: Clock) -> Scheduler:
    """Return the naive rules."""
    return FirstComeScheduler(slots=SLOTS)


#: Time, number and what to call.
_Event = tuple[float, int, Callable[[], None]]


class Driver:
    """Event loop over virtual time for one scheduler.

    Requests are cut at their deadlines, as callers and targets do.
    """

    def __init__(self, rules: Rules) -> None:
        self.clock = Clock()
        self.scheduler = rules(self.clock)
        self._events: list[_Event] = []
        self._numbers = itertools.count()

    def run(self, load: Iterable[Sent]) -> None:
        for sent in load:
            self.call_at(sent.at, partial(self._arrive, sent))
        while self._events:
            at, _, call = heapq.heappop(self._events)
            self.clock.now = at
            call()
        assert self.scheduler.in_use == 0

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), call))

    def _arrive(self, sent: Sent) -> None:
        now = self.clock.now
        request = SlotRequest(
            request_class=sent.kind.name,
            priority=sent.kind.priority,
            objective_at=now + sent.kind.objective,
            deadline_at=now + sent.kind.deadline,
            workspace=sent.workspace,
            decide=lambda refusal: self._decide(sent, refusal),
        )
        refusal = self.scheduler.acquire(request)
        if refusal is not None:
            self._decide(sent, refusal)
        elif request.is_waiting:
            self.call_at(
                request.expires_at, lambda: self._expire(sent, request)
            )
        elif sent.started_at is None and sent.refused_at is None:
            self._decide(sent, None)

    def _expire(self, sent: Sent, request: SlotRequest) -> None:
        if request.is_waiting:
            self.scheduler.cancel(request)
            sent.refused_at = self.clock.now

    def _decide(self, sent: Sent, refusal: Refusal | None) -> None:
        now = self.clock.now
        if refusal is not None:
            sent.refused_at = now
            return
        sent.started_at = now
        cut_at = max(sent.at + sent.kind.deadline, now)
        self.call_at(min(now + sent.work, cut_at), lambda: self._end(sent))

    def _end(self, sent: Sent) -> None:
        now = self.clock.now
        assert sent.started_at is not None
        held = now - sent.started_at
        if held < sent.work - 1e-9:
            sent.cut_at = now
            self.scheduler.release(sent.kind.name, None, cut_after=held)
        else:
            sent.ended_at = now
            self.scheduler.release(sent.kind.name, held)


def play(rules: Rules, load: Iterable[Sent]) -> list[Sent]:
    """Return the requests of a load with their outcomes."""
    played = [attrs.evolve(sent) for sent in load]
    Driver(rules).run(played)
    return played


def draw_work(rng: random.Random, mean: float) -> float:
    """Return a log-normal service time."""
    return mean * rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)


def make_load(
    kind: Kind,
    *,
    rate: float,
    rng: random.Random,
    seconds: float = 30,
    workspace: str = '',
) -> list[Sent]:
    """Return requests that arrive independently at a rate per second."""
    load: list[Sent] = []
    now = 100 + rng.expovariate(rate)
    while now < 100 + seconds:
        work = draw_work(rng, kind.work)
        load.append(Sent(kind=kind, at=now, work=work, workspace=workspace))
        now += rng.expovariate(rate)
    return load


def make_mix(
    load: float, parts: Iterable[tuple[Kind, float]], **fields: float
) -> list[Sent]:
    """Return a load of classes with their parts of the slot time.

    Together they need ``load`` times the slots.
    """
    rng = make_rng()
    mix: list[Sent] = []
    for kind, part in parts:
        rate = load * part * SLOTS / kind.work
        mix.extend(make_load(kind, rate=rate, rng=rng, **fields))
    return mix


def share_in_time(played: Iterable[Sent], kind: Kind | None = None) -> float:
    """Return the share of the requests that met their objective."""
    found = [sent for sent in played if kind is None or sent.kind is kind]
    return sum(sent.is_in_time for sent in found) / len(found)


def find_slot_times(played: Iterable[Sent]) -> Counter[str]:
    """Return the slot time that each workspace got, in seconds."""
    slot_times: Counter[str] = Counter()
    for sent in played:
        if sent.started_at is not None:
            ended_at = sent.ended_at or sent.cut_at or sent.started_at
            slot_times[sent.workspace] += ended_at - sent.started_at
    return slot_times
