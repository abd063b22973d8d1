"""Property test: counts of a gate under random sequences of events."""

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestwharf.limits import SlotGate
from goldcrestwharf.timers import ManualTimers
from test.limits.conftest import settle_quickly
from test.limits.test_gate import Requests

SLOTS = 2
QUEUE = 3

STEPS = st.one_of(
    st.tuples(st.just('start'), st.sampled_from('abc')),
    st.tuples(st.just('start'), st.sampled_from('abc')),
    st.tuples(st.just('release'), st.integers(0, 30)),
    st.tuples(st.just('cancel'), st.integers(0, 30)),
    st.tuples(st.just('cancel and release'), st.integers(0, 30)),
    st.tuples(st.just('advance'), st.sampled_from((0.1, 1, 10))),
    st.tuples(st.just('resize'), st.integers(1, SLOTS)),
    st.tuples(st.just('close'), st.none()),
)


class Model:
    """A gate under test and the count of slots its requests hold."""

    def __init__(self, requests: Requests, timers: ManualTimers) -> None:
        self.requests = requests
        self.timers = timers
        self.released = 0
        self.started = 0

    @property
    def held_slots(self) -> int:
        admitted = list(self.requests.finished.values()).count(None)
        return admitted - self.released

    async def step(self, action: str, number: object) -> None:
        match action, number:
            case 'start', str(caller):
                self.started += 1
                name = str(self.started)
                await self.requests.start(name, caller=caller, remaining=5)
            case 'advance', seconds:
                await self.timers.advance(float(str(seconds)))
            case 'resize', int(slots):
                self.requests.gate.resize(slots)
            case 'close', _:
                self.requests.gate.close()
            case _, int(which):
                self._end(action, which)
        await anyio.wait_all_tasks_blocked()
        self.check()

    def check(self) -> None:
        load = self.requests.gate.load()
        assert load.in_use == self.held_slots
        assert load.in_use <= SLOTS
        assert load.queued <= QUEUE
        assert not load.queued or load.in_use >= load.slots

    def _end(self, action: str, which: int) -> None:
        """Cancel a waiting request, release a held slot, or both at once."""
        waiting = [
            name
            for name in self.requests.scopes
            if name not in self.requests.finished
        ]
        if 'cancel' in action and waiting:
            self.requests.scopes[waiting[which % len(waiting)]].cancel()
        if 'release' in action and self.held_slots:
            self.released += 1
            self.requests.gate.release(service_time=1)


async def run_steps(steps: list[tuple[str, object]]) -> None:
    timers = ManualTimers()
    gate = SlotGate(slots=SLOTS, queue=QUEUE, timers=timers)
    async with anyio.create_task_group() as tg:
        model = Model(Requests(gate, tg), timers)
        pending = list(reversed(steps))
        while pending:
            await model.step(*pending.pop())
        tg.cancel_scope.cancel()
    assert gate.load().queued == 0
    assert gate.load().in_use == model.held_slots


@settings(derandomize=True, deadline=None, database=None, max_examples=400)
@given(steps=st.lists(STEPS, min_size=5, max_size=40))
def test_no_event_sequence_leaks_or_oversubscribes_slots(
    steps: list[tuple[str, object]],
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(anyio, 'wait_all_tasks_blocked', settle_quickly)
        anyio.run(run_steps, steps)
