"""Check when a stream is pinged and given up, without a network."""

import attrs
import pytest

from goldcrestwharf.proxy._liveness import (
    FAR_PING_S,
    NARROW_SILENCE_S,
    SILENCE_S,
    Liveness,
    Verdict,
)
from goldcrestwharf.proxy._sessions import SILENCE_S as SESSION_SILENCE_S

STEP_S = 0.2


@attrs.define(kw_only=True)
class Stream:
    """Play one stream in steps of the watch, seen from its dialer."""

    liveness: Liveness = attrs.field(
        factory=lambda: Liveness(is_local_zone=False),
    )
    now: float = 0
    last_heard: float = 0
    last_sent: float = 0
    longest_unsent: float = 0

    def step(self, *, is_busy: bool = False) -> Verdict:
        self.now += STEP_S
        verdict = self.liveness.judge(
            last_heard=self.last_heard,
            last_sent=self.last_sent,
            now=self.now,
            is_busy=is_busy,
        )
        unsent = self.now - self.last_sent
        self.longest_unsent = max(self.longest_unsent, unsent)
        if verdict is Verdict.PING:
            self.last_sent = self.now
        return verdict


def test_idle_stream_is_pinged_and_kept_while_it_answers() -> None:
    stream = Stream()
    for _ in range(100):
        if stream.step() is Verdict.PING:
            stream.last_heard = stream.now + 0.01
    assert stream.longest_unsent <= FAR_PING_S + STEP_S


@pytest.mark.parametrize('every', [3, 7, 14])
def test_daemon_that_only_listens_still_shows_that_it_lives(
    every: int,
) -> None:
    """The other end tells of its target all the while."""
    stream = Stream()
    for step in range(200):
        if not step % every:
            stream.last_heard = stream.now
        if stream.step() is Verdict.PING:
            stream.last_heard = stream.now + 0.01
    assert stream.longest_unsent < SESSION_SILENCE_S / 1.5


def test_stream_without_an_answer_to_a_ping_is_given_up() -> None:
    stream = Stream()
    verdicts = [stream.step(is_busy=True) for _ in range(10)]
    closed_after = verdicts.index(Verdict.CLOSE) * STEP_S
    assert closed_after <= SILENCE_S + 3 * STEP_S


@pytest.mark.parametrize(
    ('is_narrow', 'silence'),
    [(False, SILENCE_S), (True, NARROW_SILENCE_S)],
)
def test_pong_behind_large_messages_is_waited_for_on_narrow_links(
    is_narrow: bool,
    silence: float,
) -> None:
    """A configuration of 300 KB takes half a second of 5 Mbit/s."""
    behind_two_configurations = 1.2
    stream = Stream(
        liveness=Liveness(is_local_zone=True, is_narrow=is_narrow),
    )
    verdicts = []
    while Verdict.CLOSE not in verdicts:
        verdicts.append(stream.step(is_busy=True))
    pinged_at = (verdicts.index(Verdict.PING) + 1) * STEP_S
    assert silence <= stream.now - pinged_at <= silence + 2 * STEP_S
    assert (silence > behind_two_configurations) == is_narrow
