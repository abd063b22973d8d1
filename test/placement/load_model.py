"""Discrete-event model of daemons that place requests on targets.

Daemons learn of the load of a target from its answers, and from pings once a
second in the zone and once in three seconds beyond.
"""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from goldcrestwharf.placement import (
    Candidate,
    Demand,
    LoadEstimate,
    LoadReport,
    Placement,
)

SLOW_START_S = 3.0
SLOW_START_FACTOR = 2.0
TRANSIT_S = 0.001
#: Daemons are pinged in turn, a quarter of those in the zone at a time.
PING_STEP_S = 0.25
LOCAL_TURNS = 4
SWING_PERIOD_S = 17.0
#: Share of the period by which the demand of a zone follows the one before.
ZONE_SHIFT = 0.08
REMOTE_TURNS = 12
SAMPLE_WEIGHT = 0.05


@attrs.frozen(kw_only=True)
class Mesh:
    """Size and load of a mesh; times are in seconds.

    ``load`` is the share of all slots that the requests keep busy, at the
    mean of ``speeds``. ``joining`` is the share of further targets that join
    at ``joins_at``. The callers of the first zone send ``hot`` times as much as
    the others. ``is_informed`` gives daemons the present load of all targets.
    With ``is_blind`` they choose at random in their zone. The first
    ``bounded_tries`` of a request wait for no slot. Demand varies
    by ``swing`` of its mean, each zone later than the one before.
    """

    zones: int
    callers: int
    targets: int
    slots: int
    load: float
    service_time: float = 0.433
    spread: float = 0.7
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    objective: float = 1.146
    deadline: float = 2.509
    joining: float = 0
    hot: float = 1
    is_informed: bool = False
    is_blind: bool = False
    bounded_tries: int = 0
    swing: float = 0
    joins_at: float = 6.0
    seconds: float = 10.0
    warm_up: float = 3.0

    @property
    def rate(self) -> float:
        """Return the requests per second of one daemon."""
        speed = sum(self.speeds) / len(self.speeds)
        slots = self.targets * self.slots
        return self.load * slots / (self.service_time * speed * self.callers)


@attrs.define(eq=False)
class Target:
    """Target with its slots and queue, and the report of its daemon."""

    name: str
    zone: int
    slots: int
    speed: float
    joined_at: float = -math.inf
    in_use: int = 0
    served: int = 0
    service_time: float = 0
    queue: deque['Sent'] = attrs.field(factory=deque)

    def report(self) -> LoadReport:
        return LoadReport(
            busy=self.in_use + len(self.queue),
            slots=self.slots,
            service_time=self.service_time,
        )

    def record(self, service_time: float) -> None:
        if not self.service_time:
            self.service_time = service_time
        self.service_time += (service_time - self.service_time) * SAMPLE_WEIGHT


@attrs.define(kw_only=True, eq=False)
class Sent:
    """Request on its way; ``load`` is what its daemon knows of the target."""

    caller: 'Caller'
    target: Target
    load: LoadEstimate
    sent_at: float
    tried: frozenset[str] = frozenset()


@attrs.define(kw_only=True)
class Outcome:
    """What callers got, and the requests that each first target served."""

    answered: list[tuple[float, float]] = attrs.field(factory=list)
    served: list[int] = attrs.field(factory=list)
    remote: int = 0

    def late_share(
        self, objective: float, start: float = 0, end: float = math.inf
    ) -> float:
        """Return the share sent in an interval that missed the objective."""
        took = [took for at, took in self.answered if start <= at < end]
        return sum(one > objective for one in took) / len(took)

    @property
    def unevenness(self) -> float:
        """Return the most that a target served, relative to the mean."""
        return max(self.served) * len(self.served) / sum(self.served)


class Caller:
    """Daemon that places its callers' requests."""

    def __init__(self, *, zone: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.placement = Placement(rng=self.rng)
        self.zone = zone
        self._turn = self.rng.randrange(REMOTE_TURNS)
        self._candidates: dict[str, Candidate] = {}

    def learn(self, target: Target) -> None:
        is_cold = target.joined_at > 0
        load = LoadEstimate()
        load.update(target.report())
        self._candidates[target.name] = Candidate(
            daemon=target.name,
            instance_id=target.name,
            service='menu',
            is_local_zone=target.zone == self.zone,
            is_draining=False,
            slow_start_until=target.joined_at + SLOW_START_S if is_cold else 0,
            load=load,
        )

    def hear(self, target: Target, turn: int) -> None:
        candidate = self._candidates[target.name]
        turns = LOCAL_TURNS if candidate.is_local_zone else REMOTE_TURNS
        if turn % turns == self._turn % turns:
            self.update(target)

    def update(self, target: Target) -> None:
        self._candidates[target.name].load.update(target.report())

    def draw(self) -> Candidate:
        local = [one for one in self._candidates.values() if one.is_local_zone]
        return self.rng.choice(local)

    def choose(self, demand: Demand, now: float) -> Candidate:
        choice = self.placement.choose(self._candidates.values(), demand, now)
        assert choice is not None
        return choice.candidate


#: Time, number, what to call, and its arguments.
_Event = tuple[float, int, Callable[..., None], Any]


class Model:
    """One run, deterministic for a seed."""

    def __init__(self, mesh: Mesh, seed: int = 1) -> None:
        self.outcome = Outcome()
        self._mesh = mesh
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[_Event] = []
        self._now: float = 0
        self._demand = Demand(objective=mesh.objective, size=400)
        self._targets: dict[str, Target] = {}
        self._callers = [
            Caller(zone=zone, seed=self._rng.getrandbits(32))
            for zone in range(mesh.zones)
            for _ in range(mesh.callers)
        ]

    def run(self) -> Outcome:
        """Play until the last request has ended."""
        mesh = self._mesh
        self._add_targets(mesh.targets, -math.inf)
        first = tuple(self._targets.values())
        if mesh.joining:
            count = round(mesh.targets * mesh.joining)
            self._plan(mesh.joins_at, self._add_targets, count, mesh.joins_at)
        for caller in self._callers:
            self._plan_arrival(caller)
        while self._events:
            event = heapq.heappop(self._events)
            self._now = event[0]
            event[2](*event[3])
        self.outcome.served = [target.served for target in first]
        return self.outcome

    def _plan(
        self, at: float, action: Callable[..., None], *details: object
    ) -> None:
        entry = (at, next(self._numbers), action, details)
        heapq.heappush(self._events, entry)

    def _add_targets(self, count: int, joined_at: float) -> None:
        for zone in range(self._mesh.zones):
            for _ in range(count):
                target = Target(
                    name=f'target-{len(self._targets)}',
                    zone=zone,
                    slots=self._mesh.slots,
                    speed=self._rng.choice(self._mesh.speeds),
                    joined_at=joined_at,
                )
                self._targets[target.name] = target
                for caller in self._callers:
                    caller.learn(target)
                start = max(joined_at, 0) + self._rng.random() * PING_STEP_S
                self._plan(start, self._ping, target, 0)

    def _ping(self, target: Target, turn: int) -> None:
        for caller in self._callers:
            caller.hear(target, turn)
        if self._now < self._mesh.seconds:
            self._plan(self._now + PING_STEP_S, self._ping, target, turn + 1)

    def _plan_arrival(self, caller: Caller) -> None:
        at = self._now + caller.rng.expovariate(self._find_rate(caller))
        if at < self._mesh.seconds:
            self._plan(at, self._arrive, caller)

    def _find_rate(self, caller: Caller) -> float:
        mesh = self._mesh
        phase = self._now / SWING_PERIOD_S + caller.zone * ZONE_SHIFT
        wave = 1 + mesh.swing * math.sin(math.tau * phase)
        factor = 1 if caller.zone else mesh.hot
        return mesh.rate * wave * factor

    def _arrive(self, caller: Caller) -> None:
        self._plan_arrival(caller)
        if self._mesh.is_informed:
            for target in self._targets.values():
                caller.update(target)
        self._send(caller, self._now, frozenset())

    def _send(
        self, caller: Caller, sent_at: float, tried: frozenset[str]
    ) -> None:
        is_bounded = len(tried) < self._mesh.bounded_tries
        demand = attrs.evolve(
            self._demand, tried=tried if is_bounded else frozenset()
        )
        chosen = (
            caller.draw()
            if self._mesh.is_blind
            else caller.choose(demand, self._now)
        )
        chosen.load.outstanding += 1
        sent = Sent(
            caller=caller,
            target=self._targets[chosen.daemon],
            load=chosen.load,
            sent_at=sent_at,
            tried=tried | {chosen.daemon},
        )
        self._plan(
            self._now + TRANSIT_S,
            self._queue,
            sent,
            is_bounded,
            chosen.is_local_zone,
        )

    def _queue(self, sent: Sent, is_bounded: bool, is_local: bool) -> None:
        target = sent.target
        is_full = target.in_use >= target.slots
        if is_bounded and is_full:
            self._plan(self._now + TRANSIT_S, self._try_next, sent)
            return
        self.outcome.remote += not is_local
        sent.target.served += 1
        sent.target.queue.append(sent)
        self._grant(sent.target)

    def _try_next(self, sent: Sent) -> None:
        sent.load.outstanding -= 1
        sent.load.update(sent.target.report())
        self._send(sent.caller, sent.sent_at, sent.tried)

    def _grant(self, target: Target) -> None:
        while target.queue and target.in_use < target.slots:
            sent = target.queue.popleft()
            if self._now > sent.sent_at + self._mesh.deadline:
                self._answer(sent)
                continue
            target.in_use += 1
            service_time = self._draw_service_time(target)
            self._plan(
                self._now + service_time, self._finish, sent, service_time
            )

    def _draw_service_time(self, target: Target) -> float:
        mesh = self._mesh
        is_cold = self._now < target.joined_at + SLOW_START_S
        slower = SLOW_START_FACTOR if is_cold else 1
        drawn = self._rng.lognormvariate(-(mesh.spread**2) / 2, mesh.spread)
        return mesh.service_time * target.speed * slower * drawn

    def _finish(self, sent: Sent, service_time: float) -> None:
        sent.target.in_use -= 1
        sent.target.record(service_time)
        self._grant(sent.target)
        self._plan(self._now + TRANSIT_S, self._answer, sent)

    def _answer(self, sent: Sent) -> None:
        sent.load.outstanding -= 1
        sent.load.update(sent.target.report())
        if sent.sent_at >= self._mesh.warm_up:
            took = self._now - sent.sent_at
            self.outcome.answered.append((sent.sent_at, took))
