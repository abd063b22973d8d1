"""Test that keys are checked at the entry and go no further."""

import logging

import attrs
import pytest

from goldcrestwharf.http1 import Request
from goldcrestwharf.policy import PolicySnapshot
from goldcrestwharf.proxy._plan import Plan
from goldcrestwharf.workspaces import Workspace, WorkspaceTable, digest_key
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import Vm, open_vm, render, send_request

KEY = b'marked-key-0123456789'
AUTHORIZATION = b'Authorization: Bearer %b\r\n' % KEY
FORGED = b'Workspace: forged\r\n'
KEYED_AND_FORGED = b'%b%b' % (AUTHORIZATION, FORGED)


def make_keyed(version: int, *keys: bytes) -> PolicySnapshot:
    workspace = Workspace(
        name='alpha', key_digests=frozenset(map(digest_key, keys))
    )
    routes = (
        make_route(),
        make_route(name='open', path_prefix='/open/', is_public=True),
    )
    return attrs.evolve(
        make_snapshot(version, *routes),
        workspaces=WorkspaceTable(workspaces=(workspace,)),
    )


async def send(vm: Vm, lines: bytes, path: str = '/menu/today') -> int:
    start, _, rest = render(path=path).partition(b'Request-Id')
    message = b'%b%bRequest-Id%b' % (start, lines, rest)
    return (await send_request(vm, message)).status


async def test_target_gets_the_workspace_and_never_the_key(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.DEBUG)
    async with open_vm(make_keyed(1, KEY)) as vm:
        vm.send_heartbeat()
        assert await send(vm, KEYED_AND_FORGED) == 200
        assert await send(vm, b'Authorization: Bearer %bx\r\n' % KEY) == 401
        assert len(vm.target.runs) == 1
        run = vm.target.runs[0]
        assert run.find_single(b'workspace') == b'alpha'
        assert run.find(b'authorization') is None
        written = [repr(record.__dict__) for record in caplog.records]
        assert not any(KEY.decode() in one for one in written)


async def test_public_route_needs_no_key() -> None:
    async with open_vm(make_keyed(1, KEY)) as vm:
        vm.send_heartbeat()
        assert await send(vm, FORGED, '/open/x') == 200
        assert vm.target.runs[-1].find(b'workspace') is None


async def test_withdrawn_key_is_unauthorized_with_the_next_version() -> None:
    async with open_vm(make_keyed(1, KEY)) as vm:
        vm.send_heartbeat()
        assert await send(vm, AUTHORIZATION) == 200
        vm.holder.offer(make_keyed(2, b'another'))
        assert await send(vm, AUTHORIZATION) == 401


async def test_headers_are_forwarded_without_workspaces() -> None:
    async with open_vm() as vm:
        vm.send_heartbeat()
        assert await send(vm, KEYED_AND_FORGED) == 200
        run = vm.target.runs[-1]
        assert run.find(b'authorization') == b'Bearer %b' % KEY
        assert run.find(b'workspace') == b'forged'


@pytest.mark.parametrize(
    ('workspace', 'route', 'expected'),
    [(None, 2, 2), (0, 2, 2), (1, 0, 100), (1, 250, 199), (2, 0, 200)],
)
def test_priority_of_a_workspace_precedes_that_of_a_route(
    workspace: int | None, route: int, expected: int
) -> None:
    plan = Plan(
        req=Request(
            method=b'GET',
            target=b'/',
            headers=[],
            body=b'',
            received_at=0,
            has_body=False,
            wants_close=False,
        ),
        request_id='r-1',
        route=make_route(priority=route),
        service='kitchen',
        version=1,
        head=b'',
        answer_due_at=1,
        workspace=None
        if workspace is None
        else Workspace(name='w', key_digests=frozenset(), priority=workspace),
    )
    assert plan.priority == expected
