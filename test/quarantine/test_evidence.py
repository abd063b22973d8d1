"""Test which requests are suspects of a crash."""

from goldcrestwharf.quarantine import CrashEvidence, RunningRequest


class Clock:
    def __init__(self) -> None:
        self.now: float = 100

    def __call__(self) -> float:
        return self.now


def begin(evidence: CrashEvidence, name: str) -> RunningRequest:
    running = RunningRequest(find_fingerprints=lambda: (name,))
    evidence.begin(running)
    return running


def test_requests_in_progress_and_just_lost_are_suspects() -> None:
    evidence = CrashEvidence(clock=Clock())
    begin(evidence, 'running')
    evidence.end(begin(evidence, 'lost'), is_lost=True)
    evidence.end(begin(evidence, 'answered'), is_lost=False)
    assert evidence.take_suspects() == {'running', 'lost'}


def test_request_is_a_suspect_of_one_crash_only() -> None:
    evidence = CrashEvidence(clock=Clock())
    running = begin(evidence, 'running')
    assert evidence.take_suspects() == {'running'}
    evidence.end(running, is_lost=True)
    assert not evidence.take_suspects()


def test_request_lost_long_before_a_crash_is_no_suspect() -> None:
    clock = Clock()
    evidence = CrashEvidence(clock=clock)
    evidence.end(begin(evidence, 'lost'), is_lost=True)
    clock.now += 2.5
    assert not evidence.take_suspects()
