import json
from types import MappingProxyType

import httpx
import pytest
from starlette.applications import Starlette

from goldcrestwharf.endpoints import (
    AnnouncementParser,
    EndpointSettings,
    LocalTargets,
    make_routes,
)
from goldcrestwharf.membership import TargetState
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.timers import ManualTimers

HOST = '10.0.0.1'
VALID = MappingProxyType(
    {'group': 'menu-pool', 'port': 8080, 'slots': 12},
)


class Groups:
    """Groups: one without a team and one of the team ``kitchen``."""

    def find_group(self, name: str) -> TargetGroup | None:
        teams = {'menu-pool': '', 'order-pool': 'kitchen'}
        return TargetGroup(team=teams[name]) if name in teams else None


class RegistrationFixture:
    """Registration interface of one daemon with an HTTP client."""

    def __init__(self) -> None:
        cfg = EndpointSettings(max_targets=2)
        self.timers = ManualTimers()
        self.published: list[int] = []
        self.local = LocalTargets(
            cfg=cfg,
            timers=self.timers,
            publish=lambda targets: self.published.append(len(targets)),
        )
        routes = make_routes(
            local=self.local,
            parser=AnnouncementParser(host=HOST, cfg=cfg),
            groups=Groups(),
        )
        transport = httpx.ASGITransport(app=Starlette(routes=list(routes)))
        self.client = httpx.AsyncClient(
            transport=transport,
            base_url='http://daemon',
        )

    async def put(
        self, name: str = 'menu-1', **changes: object
    ) -> httpx.Response:
        body = {**VALID, **changes}
        given = {key: one for key, one in body.items() if one is not None}
        return await self.client.put(f'/v1/targets/{name}', json=given)


async def test_announced_target_is_open_until_it_leaves() -> None:
    fixture = RegistrationFixture()
    answer = await fixture.put()
    assert (answer.status_code, answer.json()) == (200, {'lease_seconds': 5})
    assert fixture.local.is_open('menu-1')
    await fixture.client.post('/v1/targets/menu-1/leave')
    assert not fixture.local.is_open('menu-1')
    states = [target.state for target in fixture.local.targets()]
    assert states == [TargetState.LEAVING]


async def test_renewal_does_not_reopen_leaving_target() -> None:
    fixture = RegistrationFixture()
    await fixture.put()
    await fixture.client.post('/v1/targets/menu-1/leave')
    assert (await fixture.put()).status_code == 409
    assert not fixture.local.is_open('menu-1')
    assert (await fixture.put(instance='b')).status_code == 200
    assert fixture.local.is_open('menu-1')


@pytest.mark.parametrize(
    ('changes', 'status', 'kind', 'named'),
    [
        ({'slots': 0}, 400, 'bad-field', 'slots'),
        ({'slots': 99_999_999}, 400, 'bad-field', 'slots'),
        ({'slots': True}, 400, 'bad-field', 'slots'),
        ({'slots': '12'}, 400, 'bad-field', 'slots'),
        ({'slots': None}, 400, 'bad-field', 'slots'),
        ({'group': None}, 400, 'bad-field', 'group'),
        ({'group': 'Menu Pool'}, 400, 'bad-field', 'group'),
        ({'group': 3}, 400, 'bad-field', 'group'),
        ({'port': 0}, 400, 'bad-field', 'port'),
        ({'port': 65_536}, 400, 'bad-field', 'port'),
        ({'port': None}, 400, 'bad-field', 'port'),
        ({'address': '10.0.0.1:80'}, 400, 'bad-field', 'exactly one'),
        ({'port': None, 'address': '10.0.0.9:80'}, 403, 'foreign-address', ''),
        ({'port': None, 'address': '10.0.0.1:x'}, 400, 'bad-field', 'port'),
        ({'port': None, 'address': '10.0.0.1'}, 403, 'foreign-address', ''),
        ({'cold_start_ms': -1}, 400, 'bad-field', 'cold_start_ms'),
        ({'solts': 3}, 400, 'bad-field', 'solts'),
        ({'group': 'order-pool'}, 403, 'foreign-team', 'kitchen'),
        (
            {'group': 'order-pool', 'team': 'desk'},
            403,
            'foreign-team',
            'kitchen',
        ),
    ],
)
async def test_invalid_announcement_is_refused_without_effect(
    changes: dict[str, object],
    status: int,
    kind: str,
    named: str,
) -> None:
    fixture = RegistrationFixture()
    answer = await fixture.put(**changes)
    refusal = answer.json()
    assert (answer.status_code, refusal['error']) == (status, kind)
    assert named in refusal['reason']
    assert refusal['remedy']
    assert not fixture.local.targets()
    assert not fixture.published


@pytest.mark.parametrize(
    ('name', 'body', 'status', 'kind'),
    [
        ('menu-1', b'{', 400, 'bad-json'),
        ('menu-1', b'[1]', 400, 'bad-json'),
        ('menu-1', b'\xff', 400, 'bad-json'),
        ('menu-1', b' ' * 20_000, 413, 'too-large'),
        ('Menu%201', json.dumps(dict(VALID)).encode(), 400, 'bad-name'),
        ('m' * 64, json.dumps(dict(VALID)).encode(), 400, 'bad-name'),
    ],
)
async def test_invalid_body_or_name_is_refused(
    name: str,
    body: bytes,
    status: int,
    kind: str,
) -> None:
    fixture = RegistrationFixture()
    answer = await fixture.client.put(f'/v1/targets/{name}', content=body)
    assert (answer.status_code, answer.json()['error']) == (status, kind)
    assert not fixture.local.targets()


async def test_target_of_unpublished_group_is_registered() -> None:
    fixture = RegistrationFixture()
    answer = await fixture.put(group='later-pool')
    assert answer.status_code == 202
    assert 'not in force yet' in answer.json()['note']
    assert fixture.local.is_open('menu-1')


@pytest.mark.parametrize(
    'changes',
    [{'port': 8081}, {'team': 'desk'}],
)
async def test_name_is_held_by_one_target_at_a_time(
    changes: dict[str, object],
) -> None:
    fixture = RegistrationFixture()
    await fixture.put()
    answer = await fixture.put(**changes)
    assert (answer.status_code, answer.json()['error']) == (409, 'name-taken')
    assert answer.headers['Retry-After'] == '5'
    await fixture.timers.advance(5)
    fixture.local.expire(fixture.timers.now(), pause=0)
    assert (await fixture.put(**changes)).status_code == 200


async def test_targets_beyond_limit_are_refused() -> None:
    fixture = RegistrationFixture()
    await fixture.put('menu-1')
    await fixture.put('menu-2')
    answer = await fixture.put('menu-3')
    assert (answer.status_code, answer.json()['error']) == (429, 'too-many')
    assert len(fixture.local.targets()) == 2


async def test_leave_is_idempotent_and_rejects_unknown_names() -> None:
    fixture = RegistrationFixture()
    await fixture.put()
    for _ in range(2):
        left = await fixture.client.delete('/v1/targets/menu-1')
        assert left.status_code == 200
    unknown = await fixture.client.delete('/v1/targets/menu-2')
    assert (unknown.status_code, unknown.json()['error']) == (
        404,
        'unknown-target',
    )
