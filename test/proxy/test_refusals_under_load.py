"""Test what callers learn of requests that reached no target under load."""

import asyncio

import attrs
import pytest

from goldcrestwharf.admission import Refusal, RefusalReason, SlotScheduler
from goldcrestwharf.http1 import Request
from goldcrestwharf.placement import Candidate, Choice, LoadEstimate
from goldcrestwharf.proxy._codec import pack, unpack
from goldcrestwharf.proxy._overload_log import OverloadLog
from goldcrestwharf.proxy._plan import Plan
from goldcrestwharf.proxy._replies import make_run
from goldcrestwharf.proxy._run_messages import Run
from goldcrestwharf.workspaces import Workspace, WorkspaceTable
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    TEST_TIMEOUT_S,
    link_to_remote,
    open_vms,
    render,
    send_request,
    wait_until,
)

HANDLER_GRACE = 'goldcrestwharf.proxy._request_handler._ANSWER_GRACE_S'
REPLY_MARGIN = 'goldcrestwharf.admission._latest_start._REPLY_MARGIN_S'

SNAPSHOT = attrs.evolve(
    make_snapshot(
        1,
        make_route(
            is_public=True,
            is_repeatable=False,
            objective=1,
            timeout=TEST_TIMEOUT_S,
        ),
    ),
    workspaces=WorkspaceTable(workspaces=()),
)


async def test_request_that_stays_queued_is_refused_before_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load: one slot that is held, and a request behind it.

    Guards against 504 for a request that reached no target: the entry doesn't
    wait beyond the deadline, so it must know by then.
    """
    monkeypatch.setattr(HANDLER_GRACE, 0)
    monkeypatch.setattr(REPLY_MARGIN, 0.25)
    async with open_vms(2, SNAPSHOT) as vms:
        entry, remote = await link_to_remote(vms)
        remote.send_heartbeat(slots=1)
        remote.target.gate.clear()
        async with asyncio.TaskGroup() as tg:
            tg.create_task(
                send_request(entry, render(deadline_ms=TEST_TIMEOUT_S * 1000))
            )
            await wait_until(lambda: bool(remote.target.runs))
            queued = await send_request(
                entry, render(request_id='r-2', deadline_ms=1000)
            )
            remote.target.gate.set()
    assert queued.status == 503
    assert queued.find(b'retry-after') is not None
    assert len(remote.target.runs) == 1


CHOICE = Choice(
    candidate=Candidate(
        daemon='vm-1',
        instance_id='i-1',
        service='kitchen',
        is_local_zone=True,
        is_draining=False,
        slow_start_until=0,
        load=LoadEstimate(),
    ),
    expected_wait=0,
    service_time=0.1,
    needs_free_slot=True,
)


def make_plan(**changes: object) -> Plan:
    req = Request(
        method=b'GET',
        target=b'/menu/today',
        headers=(),
        body=b'',
        has_body=False,
        received_at=100,
        wants_close=False,
    )
    fields: dict[str, object] = {
        'req': req,
        'request_id': 'r-1',
        'route': make_route(),
        'service': 'kitchen',
        'version': 1,
        'head': b'',
        'answer_due_at': 101,
    }
    return Plan(**{**fields, **changes})  # type: ignore[arg-type]


@pytest.mark.parametrize(('adapts', 'expected'), [(True, 0.3), (False, 0)])
def test_caller_learns_the_shortest_wait_of_the_daemons_asked(
    adapts: bool, expected: float
) -> None:
    """Guards against an early retry when the last daemon named no time."""
    plan = make_plan(adapts_to_load=adapts)
    for wait in (0.5, 0.3):
        plan.end_attempt(
            'vm-1',
            Refusal(reason=RefusalReason.OVERLOADED, retry_after=wait),
        )
    last = Refusal(reason=RefusalReason.OVERLOADED)
    assert plan.find_retry_after(last) == expected


def test_workspace_reaches_the_owner_and_is_unknown_to_earlier_releases() -> (
    None
):
    """Guards against messages that mixed releases can't read."""
    workspace = Workspace(name='acme', key_digests=frozenset())
    attempt = make_plan(workspace=workspace).make_attempt(CHOICE, 100.0)
    run = make_run(1, attempt)
    parts = [5, *attrs.astuple(run)]
    assert pack(run)
    assert unpack(parts) == run
    earlier = unpack(parts[:-2])
    assert isinstance(earlier, Run)
    assert run.attempt().workspace == 'acme'
    assert not earlier.attempt().workspace
    assert not earlier.attempt().needs_free_slot


@pytest.mark.parametrize(
    ('adapts', 'states'), [(True, ['begins', 'ends']), (False, [])]
)
def test_standing_overload_is_logged_once_at_each_end(
    monkeypatch: pytest.MonkeyPatch, adapts: bool, states: list[str]
) -> None:
    """Guards against a line for each request of an overload."""
    noted: list[object] = []
    monkeypatch.setattr(
        'goldcrestwharf.proxy._overload_log._log.note',
        lambda _, **fields: noted.append(fields['state']),
    )
    now = [100.0]
    scheduler = SlotScheduler(slots=1, clock=lambda: now[0])
    log = OverloadLog(scheduler=scheduler, adapts=lambda: adapts)
    for at in (100.4, 100.6, 101):
        now[0] = at
        log.update()
    scheduler.grant()
    log.update()
    assert noted == states
