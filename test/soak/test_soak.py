"""Run a few seeds of the soak, and test the checks of its records."""

import asyncio
from pathlib import Path

import pytest

from goldcrestwharf.http1 import Request
from test.soak.records import Records, Run, SentRequest, make_answer_body
from test.soak.runner import run_soak
from test.soak.workspaces import Workspaces

#: Seeds that run in CI, each with its number of faults and the seconds over
#: which these begin. Seeds that ever failed stay here, with the cause.
SEEDS = (
    (1, 6, 3),
    (3, 6, 3),
    # SIGHUP reached a daemon that was still starting, and ended it.
    (105, 12, 8),
    # A target got more requests than the limit that it named.
    (10_007, 14, 10),
    # A target that left by its answers went on getting requests.
    (10_050, 14, 10),
    # A target that drained before its daemon restarted got requests.
    (10_106, 14, 10),
    (20_002, 12, 8),
    # Keys, a limit and large bodies, with kills, pauses and broken links.
    (30_012, 20, 12),
    # A version that is bad from the start, with kills and a pause.
    (31_008, 18, 14),
    # A good version, while the store is out of reach and restored.
    (31_012, 18, 14),
)

#: Seconds after which a run is taken to hang.
HANG_TIMEOUT_S = 120


@pytest.mark.parametrize(('seed', 'count', 'span'), SEEDS)
async def test_guarantees_hold_under_random_faults(
    tmp_path: Path,
    seed: int,
    count: int,
    span: float,
) -> None:
    async with asyncio.timeout(HANG_TIMEOUT_S):
        assert not await run_soak(
            tmp_path,
            seed,
            count=count,
            span=span,
            is_timed=False,
        )


def make_sent(status: int, *, is_repeatable: bool = False) -> SentRequest:
    return SentRequest(
        request_id='r-1',
        is_repeatable=is_repeatable,
        path='/v/1/r-1',
        status=status,
        body=make_answer_body('r-1') if status == 200 else b'',
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


def check(sent: SentRequest, *runs: Run) -> list[str]:
    return Records(sent={'r-1': sent}, runs=list(runs)).check()


@pytest.mark.parametrize('status', [0, 200, 502, 504])
def test_single_run_is_no_violation(status: int) -> None:
    assert not check(make_sent(status), make_run())


@pytest.mark.parametrize('status', [0, 408, 421, 429, 502, 503, 504])
def test_error_without_a_run_is_no_violation(status: int) -> None:
    assert not check(make_sent(status))


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_refusal_after_a_run_is_a_violation(status: int) -> None:
    assert check(make_sent(status), make_run())


@pytest.mark.parametrize('status', [0, 200, 502])
def test_second_run_of_a_non_repeatable_request_is_a_violation(
    status: int,
) -> None:
    assert check(make_sent(status), make_run(), make_run())


def test_answer_without_a_run_is_a_violation() -> None:
    assert check(make_sent(200))


def test_answer_to_another_request_is_a_violation() -> None:
    sent = make_sent(200)
    sent.body = make_answer_body('r-2')
    assert check(sent, make_run())


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
def test_run_of_a_changed_request_is_a_violation(
    changes: dict[str, object],
) -> None:
    assert check(make_sent(502), make_run(**changes))


@pytest.mark.parametrize(
    ('headers', 'body'),
    [
        ([(b'Authorization', b'Bearer other')], b''),
        ([(b'Forwarded-Authorization', b'Bearer soak-key-1')], b''),
        ([], b'{"key": "soak-key-1"}'),
    ],
)
def test_key_at_a_target_is_a_violation_in_ci(
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    records = Records(workspaces=Workspaces())
    assert records.workspaces is not None
    req = Request(
        method=b'GET',
        target=b'/v/1/r-1',
        headers=headers,
        body=body,
        received_at=0,
        has_body=bool(body),
        wants_close=False,
    )
    records.workspaces.check_run(req, 'soak-key-1')
    assert records.check()
