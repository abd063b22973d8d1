"""Test the memory of the outcomes that a ledger keeps."""

from goldcrestwharf.admission import (
    DispatchLedger,
    DispatchState,
    OutcomeMemory,
)


def make_ledger(
    now: list[float],
) -> tuple[DispatchLedger[str], OutcomeMemory[str]]:
    memory = OutcomeMemory[str](
        max_bytes=10, find_size=len, shorten=lambda _: ''
    )
    return DispatchLedger(clock=lambda: now[0], memory=memory), memory


def finish(ledger: DispatchLedger[str], number: int, outcome: str) -> None:
    assert ledger.accept(('p', number))
    ledger.finish(('p', number), outcome)


def test_oldest_outcomes_are_shortened_beyond_the_memory() -> None:
    ledger, memory = make_ledger([0])
    finish(ledger, 1, 'four')
    finish(ledger, 2, 'five5')
    finish(ledger, 3, 'six666')
    outcomes = [ledger.inquire(('p', number)).outcome for number in (1, 2, 3)]
    assert outcomes == ['', '', 'six666']
    assert memory.used == 6


def test_request_with_a_shortened_outcome_never_runs_again() -> None:
    ledger, _ = make_ledger([0])
    finish(ledger, 1, 'longer than ten')
    assert ledger.inquire(('p', 1)).state is DispatchState.DONE
    assert not ledger.accept(('p', 1))


def test_requests_before_a_shortened_one_may_still_arrive() -> None:
    """An eviction of its record would forbid them."""
    ledger, _ = make_ledger([0])
    finish(ledger, 2, 'longer than ten')
    assert ledger.accept(('p', 1))


def test_expired_outcomes_take_no_memory() -> None:
    now: list[float] = [0]
    ledger, memory = make_ledger(now)
    finish(ledger, 1, 'four')
    now[0] = 31
    finish(ledger, 2, 'five5')
    assert memory.used == 5
