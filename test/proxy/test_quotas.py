"""Test limits of workspaces with daemons, streams and targets on loopback."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.http1 import Response as HttpResponse
from goldcrestwharf.policy import PolicySnapshot
from goldcrestwharf.quotas import rank_names
from goldcrestwharf.workspaces import Workspace, WorkspaceTable, digest_key
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    Vm,
    find_link,
    open_vms,
    render,
    send_request,
    wait_until,
)

WORKSPACE = 'bakery'
KEY = b'k-1'
SMALL_LIMIT = 0.5

#: Longer than a busy machine lets the process stand still.
DEADLINE_S = 10


def make_limited(rate: float | None) -> PolicySnapshot:
    workspace = Workspace(
        name=WORKSPACE,
        key_digests=frozenset((digest_key(KEY),)),
        rate=rate,
    )
    return attrs.evolve(
        make_snapshot(1, make_route(timeout=DEADLINE_S)),
        workspaces=WorkspaceTable(workspaces=(workspace,)),
    )


def render_with_key(request_id: str) -> bytes:
    message = render(request_id=request_id, deadline_ms=DEADLINE_S * 1000)
    head, _, rest = message.partition(b'Host:')
    return b'%bAuthorization: Bearer %b\r\nHost:%b' % (head, KEY, rest)


async def send_burst(vm: Vm, count: int) -> list[HttpResponse]:
    return [
        await send_request(vm, render_with_key(f'r-{number}'))
        for number in range(count)
    ]


@asynccontextmanager
async def open_limited(
    count: int, snapshot: PolicySnapshot
) -> AsyncIterator[list[Vm]]:
    """Yield linked daemons whose discovery of each other is over."""
    async with open_vms(count, snapshot) as vms:
        for vm in vms:
            vm.send_heartbeat()
            members = vm.daemon.core.quotas._members
            members._started_at -= 60
        await wait_until(
            lambda: all(count_links(vm) == count - 1 for vm in vms)
        )
        yield vms


def count_links(vm: Vm) -> int:
    links = vm.daemon._fleet.links
    return sum(
        link.is_up and bool(link.target.candidate) for link in links.values()
    )


def find_name(vm: Vm) -> str:
    core = vm.daemon.core
    return core.cfg.name


def order(vms: list[Vm]) -> list[Vm]:
    """Return the daemons in the order in which they are coordinators."""
    by_name = {find_name(vm): vm for vm in vms}
    return [by_name[name] for name in rank_names(WORKSPACE, by_name)]


def fail(_: Request) -> Answer:
    return Answer(status=500)


def refuse(_: Request) -> Answer:
    return Answer(status=503, head=b'Not-Run: 1\r\n')


@pytest.mark.parametrize('entry_rank', [0, 1])
async def test_request_over_the_limit_has_not_run_and_returns_as_told(
    entry_rank: int,
) -> None:
    async with open_limited(2, make_limited(1)) as vms:
        entry = order(vms)[entry_rank]
        statuses = []
        while 429 not in statuses:
            message = render_with_key(f'r-{len(statuses)}')
            response = await send_request(entry, message)
            statuses.append(response.status)
        assert sum(len(vm.target.runs) for vm in vms) == len(statuses) - 1
        wait = float(response.find(b'retry-after') or 0)
        assert 0.15 < wait < 1.1
        await asyncio.sleep(wait)
        assert (await send_request(entry, message)).status == 200


@pytest.mark.parametrize('entry_rank', [0, 1])
async def test_request_that_did_not_run_returns_its_token(
    entry_rank: int,
) -> None:
    async with open_limited(2, make_limited(SMALL_LIMIT)) as vms:
        for vm in vms:
            vm.target.answer = refuse
        responses = await send_burst(order(vms)[entry_rank], 10)
    assert {response.status for response in responses} == {503}


async def test_request_that_may_have_run_spends_one_token() -> None:
    async with open_limited(2, make_limited(SMALL_LIMIT)) as vms:
        entry = order(vms)[0]
        entry.target.answer = fail
        responses = await send_burst(entry, 4)
    # The three tokens of the start cover the failed attempts and the retries.
    statuses = [response.status for response in responses]
    assert statuses == [200, 200, 200, 429]


async def test_next_daemon_takes_over_when_the_coordinator_dies() -> None:
    async with open_limited(3, make_limited(20)) as vms:
        coordinator, _, entry = order(vms)
        assert (await send_burst(entry, 1))[0].status == 200
        coordinator.daemon.close()
        coordinator.target.close()
        link = find_link(entry, find_name(coordinator))
        assert link is not None
        await wait_until(lambda: not link.is_up)
        responses = await send_burst(entry, 3)
    assert {response.status for response in responses} == {200}


async def test_workspace_without_a_limit_asks_nobody() -> None:
    async with open_limited(2, make_limited(None)) as vms:
        entry = order(vms)[1]
        responses = await send_burst(entry, 20)
        exchange = entry.daemon.core.quotas
        assert not exchange.gate._clients
    assert {response.status for response in responses} == {200}
