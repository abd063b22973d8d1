"""Play a few seeds of the soak, and check that its checks see faults."""

import asyncio
from pathlib import Path

import pytest

from test.soak.play import play
from test.soak.records import Records, Run, Seen, make_body

#: Seeds that are played in CI, with their faults and the seconds in which
#: these begin; one that ever failed stays, with its cause.
SEEDS = (
    (1, 6, 3),
    (3, 6, 3),
    # A reload reached a daemon that was just starting, and ended it.
    (105, 12, 8),
)

#: Seconds after which a play has hung.
HANG_S = 120


@pytest.mark.parametrize(('seed', 'count', 'span'), SEEDS)
async def test_promises_hold_under_random_faults(
    tmp_path: Path,
    seed: int,
    count: int,
    span: float,
) -> None:
    async with asyncio.timeout(HANG_S):
        assert not await play(
            tmp_path,
            seed,
            count=count,
            span=span,
            is_timed=False,
        )


def make_seen(status: int, *, is_repeatable: bool = False) -> Seen:
    return Seen(
        request_id='r-1',
        is_repeatable=is_repeatable,
        path='/v/1/r-1',
        status=status,
        body=make_body('r-1') if status == 200 else b'',
        has_proof=status == 200,
    )


def make_run(**changes: object) -> Run:
    fields: dict[str, object] = {
        'request_id': 'r-1',
        'method': 'POST',
        'path': '/v/1/r-1',
        'body': b'what is ordered',
        'caller': 'kitchen',
    }
    return Run(**{**fields, **changes})  # type: ignore[arg-type]


def check(seen: Seen, *runs: Run) -> list[str]:
    return Records(seen={'r-1': seen}, runs=list(runs)).check()


@pytest.mark.parametrize('status', [0, 200, 502, 504])
def test_one_run_breaks_nothing(status: int) -> None:
    assert not check(make_seen(status), make_run())


@pytest.mark.parametrize('status', [0, 408, 421, 429, 502, 503, 504])
def test_no_run_breaks_nothing(status: int) -> None:
    assert not check(make_seen(status))


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_refusal_of_what_ran_is_seen(status: int) -> None:
    assert check(make_seen(status), make_run())


@pytest.mark.parametrize('status', [0, 200, 502])
def test_second_run_is_seen(status: int) -> None:
    assert check(make_seen(status), make_run(), make_run())


def test_answer_without_a_run_is_seen() -> None:
    assert check(make_seen(200))


def test_answer_of_another_request_is_seen() -> None:
    seen = make_seen(200)
    seen.body = make_body('r-2')
    assert check(seen, make_run())


@pytest.mark.parametrize(
    'changes',
    [
        {'path': '/v/2/r-1'},
        {'body': b'other'},
        {'method': 'PUT'},
        {'caller': 'forged'},
        {'request_id': 'r-2'},
    ],
)
def test_changed_request_is_seen(changes: dict[str, object]) -> None:
    assert check(make_seen(502), make_run(**changes))
