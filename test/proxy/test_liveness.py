"""Test when a stream is pinged and when it is closed."""

import attrs
import pytest

from goldcrestwharf.proxy._liveness import (
    LOW_BANDWIDTH_SILENCE_TIMEOUT_S,
    REMOTE_PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    CommonSilence,
    Liveness,
    LivenessAction,
)
from goldcrestwharf.proxy._sessions import (
    SILENCE_TIMEOUT_S as SESSION_SILENCE_TIMEOUT_S,
)

STEP_S = 0.2

#: A usual objective of a route.
OBJECTIVE_S = 0.8


@attrs.define(kw_only=True)
class Stream:
    """Simulated stream, seen by the daemon that opened it."""

    liveness: Liveness = attrs.field(
        factory=lambda: Liveness(is_local_zone=False),
    )
    now: float = 0
    last_heard: float = 0
    last_sent: float = 0
    longest_unsent: float = 0

    def step(self, *, is_busy: bool = False) -> LivenessAction:
        self.now += STEP_S
        action = self.liveness.check(
            last_heard=self.last_heard,
            last_sent=self.last_sent,
            now=self.now,
            is_busy=is_busy,
        )
        unsent = self.now - self.last_sent
        self.longest_unsent = max(self.longest_unsent, unsent)
        if action is LivenessAction.PING:
            self.last_sent = self.now
        return action


def test_idle_stream_is_pinged_at_the_ping_interval() -> None:
    stream = Stream()
    for _ in range(100):
        if stream.step() is LivenessAction.PING:
            stream.last_heard = stream.now + 0.01
    assert stream.longest_unsent <= REMOTE_PING_INTERVAL_S + STEP_S


@pytest.mark.parametrize('every', [3, 7, 14])
def test_receiving_only_stream_is_pinged_before_the_other_end_times_out(
    every: int,
) -> None:
    """The other end sends messages about its target all the time."""
    stream = Stream()
    for step in range(200):
        if not step % every:
            stream.last_heard = stream.now
        if stream.step() is LivenessAction.PING:
            stream.last_heard = stream.now + 0.01
    assert stream.longest_unsent < SESSION_SILENCE_TIMEOUT_S / 1.5


def test_stream_without_answer_to_a_ping_is_closed() -> None:
    stream = Stream()
    actions = [stream.step(is_busy=True) for _ in range(10)]
    closed_after = actions.index(LivenessAction.CLOSE) * STEP_S
    assert closed_after <= SILENCE_TIMEOUT_S + 3 * STEP_S


def test_silent_stream_with_attempts_is_reopened_before_it_is_closed() -> None:
    stream = Stream()
    actions = [stream.step(is_busy=True) for _ in range(10)]
    reopened = actions.index(LivenessAction.REOPEN)
    assert (reopened + 1) * STEP_S <= OBJECTIVE_S
    assert reopened < actions.index(LivenessAction.CLOSE)
    assert actions.count(LivenessAction.REOPEN) == 1
    assert stream.liveness.is_suspect


def test_stream_is_reopened_before_it_is_closed_also_after_a_stall() -> None:
    """Closing first would leave a gap in which nothing can be sent."""
    stream = Stream()
    stream.liveness.request_ping()
    assert stream.step() is LivenessAction.PING
    stream.now += SILENCE_TIMEOUT_S
    actions = [stream.step() for _ in range(3)]
    assert actions == [
        LivenessAction.REOPEN,
        LivenessAction.LEAVE,
        LivenessAction.CLOSE,
    ]


def test_stream_that_answers_late_is_no_longer_suspect() -> None:
    stream = Stream()
    while stream.step(is_busy=True) is not LivenessAction.REOPEN:
        assert not stream.liveness.is_suspect
    stream.last_heard = stream.now
    stream.step()
    assert not stream.liveness.is_suspect


def test_streams_that_fall_silent_together_are_all_found_soon() -> None:
    streams = [Stream() for _ in range(8)]
    silence = CommonSilence()
    now: float = 0
    while not all(stream.liveness.is_suspect for stream in streams):
        now += STEP_S
        for number, stream in enumerate(streams):
            # Two of them carry an attempt.
            stream.step(is_busy=number < 2)
        suspects = sum(stream.liveness.is_suspect for stream in streams)
        if silence.is_round_due(suspects, now):
            for stream in streams:
                stream.liveness.request_ping()
    assert now <= 2 * OBJECTIVE_S


def test_one_silent_stream_has_no_other_pinged() -> None:
    silence = CommonSilence()
    assert not any(silence.is_round_due(1, now) for now in range(5))


def test_rounds_of_pings_keep_a_distance() -> None:
    silence = CommonSilence()
    assert silence.is_round_due(2, 0)
    assert not silence.is_round_due(3, 0.4)
    assert not silence.is_round_due(3, 1.4)
    assert silence.is_round_due(4, 1.6)


@pytest.mark.parametrize(
    ('is_low_bandwidth', 'silence'),
    [(False, SILENCE_TIMEOUT_S), (True, LOW_BANDWIDTH_SILENCE_TIMEOUT_S)],
)
def test_pong_may_be_late_on_low_bandwidth_links(
    is_low_bandwidth: bool,
    silence: float,
) -> None:
    """A configuration of 300 KB takes half a second at 5 Mbit/s."""
    behind_two_configurations = 1.2
    stream = Stream(
        liveness=Liveness(
            is_local_zone=True, is_low_bandwidth=is_low_bandwidth
        ),
    )
    actions = []
    while LivenessAction.CLOSE not in actions:
        actions.append(stream.step(is_busy=True))
    pinged_at = (actions.index(LivenessAction.PING) + 1) * STEP_S
    assert silence <= stream.now - pinged_at <= silence + 2 * STEP_S
    assert (silence > behind_two_configurations) == is_low_bandwidth
