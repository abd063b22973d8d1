"""Check what counts as evidence about a version, and how it is sent."""

import attrs
import msgpack
import pytest

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.discovery import Heartbeat, InstanceState, InstanceTracker
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._codec import pack, unpack
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.proxy._peer_messages import Hello, TargetState
from goldcrestwharf.proxy._rollout_messages import (
    RolloutEvidence,
    RolloutNotice,
    pack_state,
)
from goldcrestwharf.proxy._rollout_recorder import RolloutRecorder
from goldcrestwharf.rollouts import Phase, RolloutTable, RouteEvidence
from test.rollouts.helper import SERVICE, Clock, make_state


def send(message: object) -> object:
    return unpack(msgpack.unpackb(pack(message)))


class Recorder:
    """Recorder of a target of v2, during an order."""

    def __init__(self) -> None:
        self.clock = Clock()
        self._table = RolloutTable(clock=self.clock)
        self.state = make_state(self.clock)
        self._table.offer(self.state)
        self._tracker = InstanceTracker(address='t', service=SERVICE, period=60)
        self._sequence = 0
        self.send_heartbeat()
        self.recorder = RolloutRecorder(
            daemon='vm-1',
            zone='a',
            table=self._table,
            instance_tracker=self._tracker,
            clock=self.clock,
        )

    def send_heartbeat(self, slow_start_left: float = 0) -> None:
        self._sequence += 1
        self._tracker.record_heartbeat(
            Heartbeat(
                instance_id='i',
                started_ms=1,
                sequence=self._sequence,
                service=SERVICE,
                address='t',
                slots=7,
                state=InstanceState.READY,
                slow_start_left=slow_start_left,
                version='v2',
            ),
            self.clock(),
        )

    def record(self, outcome: Outcome | None, seconds: float = 0.2) -> None:
        """Record an attempt with an objective of 1 s."""
        attempt = Attempt(
            request_id='r',
            request_class='fetch',
            service=SERVICE,
            instance_id='i',
            priority=1,
            left=2,
            objective_left=1,
            is_repeatable=True,
            head=b'',
            body=b'',
        )
        began_at = self.clock()
        self.clock.now += seconds
        self.recorder.record(attempt, outcome, began_at)

    def count(self) -> RouteEvidence:
        evidence = send(self.recorder.make_evidence(self.state.order, 0))
        assert isinstance(evidence, RolloutEvidence)
        routes = evidence.unpack().by_version.get('v2', {})
        return routes.get('fetch', RouteEvidence())


def make_answer(status: int) -> Ran:
    return Ran(status=status, head=b'', body=b'')


@pytest.mark.parametrize(
    ('outcome', 'seconds', 'expected'),
    [
        (make_answer(200), 0.2, (1, 0, 1)),
        (make_answer(404), 0.2, (1, 0, 1)),
        (make_answer(503), 0.2, (1, 1, 0)),
        (Lost(reason='no answer by the deadline'), 2, (1, 1, 0)),
        (Refusal(reason=RefusalReason.OVERLOADED), 0.2, (0, 0, 0)),
        # The caller was gone early, or its time was up.
        (None, 0.2, (0, 0, 0)),
        (None, 1.9, (1, 1, 0)),
    ],
)
def test_outcomes_count_as_they_bear_on_the_version(
    outcome: Outcome | None, seconds: float, expected: tuple[int, int, int]
) -> None:
    recorder = Recorder()
    recorder.record(outcome, seconds)
    counts = recorder.count()
    assert (counts.answers, counts.failures, counts.timed) == expected


def test_times_of_a_slow_start_do_not_count() -> None:
    """Guards against a slow start that is taken for a slow version."""
    recorder = Recorder()
    recorder.send_heartbeat(slow_start_left=2)
    recorder.record(make_answer(200))
    recorder.record(Lost(reason='no answer by the deadline'))
    recorder.clock.now += 2
    recorder.record(make_answer(200))
    # Its time began before the latest heartbeat, but after the slow start.
    recorder.clock.now += 1
    recorder.send_heartbeat()
    recorder.record(make_answer(200))
    counts = recorder.count()
    assert (counts.answers, counts.failures, counts.timed) == (3, 0, 2)


def test_end_of_a_process_counts_once() -> None:
    """Guards against a machine that is lost and ends a roll-out."""
    recorder = Recorder()
    for _ in range(7):
        recorder.record(Lost(reason='reset', is_broken=True), seconds=0.001)
    assert recorder.count().failures == 1


def test_states_of_orders_survive_the_way() -> None:
    clock = Clock()
    state = attrs.evolve(make_state(clock, Phase.MOVING), rotation=2)
    clock.now += 3
    packed = [pack_state(state, clock())]
    received = send(RolloutNotice(states=packed, is_lease=True))
    assert isinstance(received, RolloutNotice)
    assert received.is_lease
    assert list(received.unpack(clock())) == [state]


def test_messages_of_the_former_release_have_defaults() -> None:
    """Guards against mixed releases that don't understand each other."""
    hello = Hello(
        name='vm', process='p', address='a', zone='z', version=1, digest=b''
    )
    former = msgpack.unpackb(pack(hello))[:-1]
    read = unpack(former)
    assert isinstance(read, Hello)
    assert not read.features
    state = TargetState(
        service=SERVICE,
        instance_id='i',
        is_draining=False,
        slow_start_ms=0,
        report=[0, 1, 0, 0],
        version='v1',
        is_leaving=True,
    )
    for missing, version in ((1, 'v1'), (2, '')):
        read = unpack(msgpack.unpackb(pack(state))[:-missing])
        assert isinstance(read, TargetState)
        assert not read.is_leaving
        assert read.version == version
