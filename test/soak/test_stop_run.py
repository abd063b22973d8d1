"""Run a short series of planned stops, and test its checks."""

import asyncio
from pathlib import Path

import pytest

from test.soak.stop_checks import Ending, Verdict, judge, list_violations
from test.soak.stop_records import Span, StopRecords, StopRequest, StopRun
from test.soak.stop_run import run_stops
from test.soak.stop_traffic import Traffic
from test.soak.stop_variants import Variant

#: Seconds after which a run is taken to hang.
HANG_TIMEOUT_S = 120

SIGTERM_AT = 100.0


@pytest.mark.parametrize(
    ('seed', 'variant'), [(1, Variant.ROLL), (2, Variant.PAIRS)]
)
async def test_planned_stops_in_series_lose_no_request(
    tmp_path: Path, seed: int, variant: Variant
) -> None:
    async with asyncio.timeout(HANG_TIMEOUT_S):
        records = await run_stops(
            tmp_path,
            seed,
            variant=variant,
            stops=4,
            zones=('z-a', 'z-a', 'z-b', 'z-b'),
        )
    assert [verdict for verdict in judge(records) if verdict.is_lost] == []
    assert list(list_violations(records)) == []


@pytest.mark.parametrize(
    'traffic',
    [
        Traffic.PIPELINED,
        Traffic.MALFORMED,
        Traffic.OVERSIZED,
        Traffic.HALVES,
        Traffic.LARGE,
        Traffic.NESTED,
    ],
    ids=str,
)
async def test_planned_stops_lose_no_request_however_connections_are_used(
    tmp_path: Path, traffic: Traffic
) -> None:
    async with asyncio.timeout(HANG_TIMEOUT_S):
        records = await run_stops(
            tmp_path,
            1,
            traffic=traffic,
            stops=3,
            callers=4,
            zones=('z-a', 'z-a', 'z-b', 'z-b'),
        )
    assert [verdict for verdict in judge(records) if verdict.is_lost] == []
    assert list(list_violations(records)) == []


def make_verdict(
    *,
    sent: float,
    ended: float,
    status: int = 0,
    run: tuple[float, float] | None = None,
    limit: float = 5,
) -> Verdict:
    """Return the verdict on a request; times count from SIGTERM."""
    records = StopRecords()
    records.stops.append(Span(vm='m-0', began_at=SIGTERM_AT))
    records.requests['r-1'] = StopRequest(
        request_id='r-1',
        vm='m-0',
        service='kitchen',
        is_repeatable=False,
        limit=limit,
        work_s=1,
        sent_at=SIGTERM_AT + sent,
        ended_at=SIGTERM_AT + ended,
        status=status,
    )
    if run is not None:
        records.add_run(
            StopRun(
                request_id='r-1',
                vm='m-1',
                began_at=SIGTERM_AT + run[0],
                ended_at=SIGTERM_AT + run[1],
            )
        )
    return next(judge(records))


def test_closed_connection_after_a_run_is_a_loss() -> None:
    verdict = make_verdict(sent=3.5, ended=5.8, run=(3.6, 7))
    assert verdict.ending is Ending.CLOSED_AFTER_RUN
    assert verdict.is_lost


def test_own_error_while_the_target_works_is_a_loss() -> None:
    verdict = make_verdict(sent=3.5, ended=5.8, status=504, run=(3.6, 5.8))
    assert verdict.ending is Ending.BROKEN_OFF
    assert verdict.is_lost


def test_late_close_without_a_run_is_a_loss() -> None:
    assert make_verdict(sent=5, ended=5.3).is_lost
    assert not make_verdict(sent=5, ended=5.1).is_lost


def test_early_request_that_works_into_the_last_sixth_is_no_loss() -> None:
    assert not make_verdict(sent=2.9, ended=5.8, run=(3, 5.8)).is_lost
    assert make_verdict(sent=2.9, ended=4.8, run=(3, 4.8)).is_lost


def test_request_that_reaches_its_limit_is_no_loss() -> None:
    assert not make_verdict(sent=3.5, ended=5.5, run=(4, 6), limit=2).is_lost


def test_request_before_or_long_after_a_stop_is_no_loss() -> None:
    assert not make_verdict(sent=-3, ended=-1, run=(-2, 1)).is_lost
    assert not make_verdict(sent=8, ended=9, run=(8, 10)).is_lost


@pytest.mark.parametrize(('closures', 'violations'), [(3, 0), (4, 1)])
def test_closing_connections_on_requests_that_ran_is_a_violation(
    closures: int, violations: int
) -> None:
    records = StopRecords()
    for number in range(closures):
        request_id = f'r-{number}'
        records.requests[request_id] = StopRequest(
            request_id=request_id,
            vm='m-0',
            service='kitchen',
            is_repeatable=True,
            limit=5,
            work_s=1,
            sent_at=10,
            ended_at=10.5,
        )
        records.add_run(StopRun(request_id=request_id, vm='m-1', began_at=10.1))
    assert len(list(list_violations(records))) == violations
