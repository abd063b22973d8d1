import itertools

from hypothesis import given
from hypothesis import strategies as st

from goldcrestwharf.admission import DispatchLedger, DispatchState

KEY = ('process', 1)


def make_ledger(now: list[float]) -> DispatchLedger[str]:
    return DispatchLedger(clock=lambda: now[0])


def test_inquiry_forbids_request_that_has_not_arrived() -> None:
    ledger = make_ledger([0])
    assert ledger.inquire(KEY).state is DispatchState.FORBIDDEN
    assert not ledger.accept(KEY)


def test_duplicate_is_not_accepted() -> None:
    ledger = make_ledger([0])
    assert ledger.accept(KEY)
    assert not ledger.accept(KEY)
    assert ledger.inquire(KEY).state is DispatchState.RUNNING


def test_inquiry_returns_outcome_of_finished_request() -> None:
    ledger = make_ledger([0])
    ledger.accept(KEY)
    ledger.finish(KEY, 'answer')
    assert ledger.inquire(KEY).outcome == 'answer'


def test_finished_requests_expire() -> None:
    now: list[float] = [0]
    ledger = make_ledger(now)
    ledger.accept(KEY)
    ledger.finish(KEY, 'answer')
    now[0] = 31
    ledger.accept(('process', 2))
    assert ledger.inquire(KEY).outcome is None


def test_running_request_is_kept_however_long_it_takes() -> None:
    """Taken for one that never arrived, it would run a second time."""
    now: list[float] = [0]
    ledger = make_ledger(now)
    ledger.accept(KEY)
    now[0] = 100
    for number in range(2, 30_000):
        ledger.accept(('process', number))
        ledger.finish(('process', number), 'answer')
    assert ledger.inquire(KEY).state is DispatchState.RUNNING
    ledger.finish(KEY, 'late answer')
    assert ledger.inquire(KEY).outcome == 'late answer'


def test_evicted_request_may_have_run() -> None:
    """A sender that is told that it never arrived runs it elsewhere."""
    now: list[float] = [0]
    ledger = make_ledger(now)
    ledger.accept(('process', 2))
    ledger.finish(('process', 2), 'answer')
    now[0] = 31
    ledger.accept(('process', 3))
    ledger.finish(('process', 3), 'answer')
    assert ledger.inquire(('process', 2)).state is DispatchState.UNKNOWN
    assert not ledger.accept(('process', 2))
    assert ledger.inquire(('process', 4)).state is DispatchState.FORBIDDEN
    assert ledger.inquire(('other', 2)).state is DispatchState.FORBIDDEN


def test_request_that_will_never_be_complete_stays_forbidden() -> None:
    """Its task ends later, which must not make it look like one that ran."""
    ledger = make_ledger([0])
    ledger.accept(KEY)
    ledger.forbid(KEY, 'not sent')
    ledger.finish(KEY, 'answer')
    ledger.discard(KEY)
    record = ledger.inquire(KEY)
    assert record.state is DispatchState.FORBIDDEN
    assert record.outcome == 'not sent'
    assert not ledger.accept(KEY)


@given(st.permutations(['arrive', 'arrive', 'inquire', 'inquire', 'finish']))
def test_request_runs_at_most_once_for_any_message_order(
    order: list[str],
) -> None:
    """Once a request is forbidden here, its sender runs it elsewhere."""
    ledger = make_ledger([0])
    runs_here = 0
    runs_elsewhere = 0
    for step in order:
        if step == 'arrive':
            runs_here += ledger.accept(KEY)
        if step == 'finish' and runs_here:
            ledger.finish(KEY, 'answer')
        if step == 'inquire':
            forbidden = ledger.inquire(KEY).state is DispatchState.FORBIDDEN
            runs_elsewhere |= forbidden
    assert runs_here + runs_elsewhere <= 1


def test_requests_of_other_processes_have_separate_keys() -> None:
    ledger = make_ledger([0])
    keys = itertools.product(('a', 'b'), (1, 2))
    assert all(ledger.accept(key) for key in keys)
