"""Test that the slots of the local target follow its learned limit.

Each request takes longer the more are in progress from four on, and there is
always another one waiting.
"""

import math

import attrs
import pytest

from goldcrestwharf.admission import SlotScheduler
from goldcrestwharf.capacity import ConcurrencyMeter
from goldcrestwharf.discovery import InstanceTracker
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._outcomes import Ran
from goldcrestwharf.proxy._slot_limiter import SlotLimiter
from goldcrestwharf.proxy._slot_queue import AttemptRun
from goldcrestwharf.proxy._target_calls import TargetCalls
from test.capacity.scenes import slow_from_four
from test.helper import make_rng
from test.policy.helper import make_snapshot

SLOTS = 7

RUN = AttemptRun(
    attempt=Attempt(
        request_id='r-1',
        request_class='fetch',
        service='kitchen',
        instance_id='i-1',
        priority=1,
        left=9,
        objective_left=9,
        is_repeatable=True,
        head=b'',
        body=b'',
    ),
    deadline_at=math.inf,
)


class Scene:
    """Limiter on a clock that moves by hand."""

    def __init__(self, *, adapts: bool) -> None:
        self.now: float = 0
        self.holder = PolicyHolder()
        self.offer(1, adapts=adapts)
        self.scheduler = SlotScheduler(slots=1, clock=self.clock)
        self.calls = TargetCalls(host='10.0.0.1', clock=self.clock)
        self.limiter = SlotLimiter(
            scheduler=self.scheduler,
            holder=self.holder,
            instance_tracker=InstanceTracker(address='', service='', period=1),
            calls=self.calls.meter,
            clock=self.clock,
        )
        self.limiter.apply_slots(SLOTS)
        self._rng = make_rng()

    def clock(self) -> float:
        return self.now

    def offer(self, version: int, *, adapts: bool) -> None:
        snapshot = make_snapshot(version)
        self.holder.offer(attrs.evolve(snapshot, has_bulk_routes=adapts))

    def run(self, seconds: float) -> None:
        ends_at = self.now + seconds
        running = []
        while self.now < ends_at:
            while len(running) < self.scheduler.slots:
                slow = slow_from_four(len(running) + 1)
                time = 0.2 * slow * self._rng.uniform(0.8, 1.2)
                running.append((self.now + time, self.limiter.begin()))
            running.sort(key=lambda entry: entry[0])
            ended_at, use = running.pop(0)
            self.now = ended_at
            ran = Ran(status=200, head=b'', body=b'')
            self.limiter.end(use, RUN, ran)


def test_slots_follow_the_learned_limit() -> None:
    scene = Scene(adapts=True)
    scene.run(30)
    assert scene.scheduler.slots == 4


def test_named_slots_are_used_without_adaptation() -> None:
    scene = Scene(adapts=False)
    scene.run(30)
    assert scene.scheduler.slots == SLOTS


def test_named_slots_return_with_a_configuration_that_does_not_adapt() -> None:
    scene = Scene(adapts=True)
    scene.run(30)
    scene.offer(2, adapts=False)
    scene.run(1)
    assert scene.scheduler.slots == SLOTS


def test_heartbeat_keeps_the_limit_and_another_process_drops_it() -> None:
    scene = Scene(adapts=True)
    scene.run(30)
    scene.limiter.apply_slots(SLOTS)
    assert scene.scheduler.slots == 4
    scene.limiter.reset()
    scene.limiter.apply_slots(SLOTS)
    assert scene.scheduler.slots == SLOTS


def test_meter_gives_the_mean_over_time() -> None:
    scene = Scene(adapts=False)
    meter = ConcurrencyMeter(clock=scene.clock)
    begin = meter.read()
    meter.change(2)
    scene.now = 3
    meter.change(-2)
    scene.now = 4
    assert meter.mean_since(begin) == pytest.approx(1.5)
