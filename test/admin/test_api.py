"""Tests of the administration API with a daemon in this process."""

import random
from collections.abc import AsyncIterator
from functools import partial

import anyio
import attrs
import httpx
import pytest

from goldcrestwharf.daemon import Daemon
from goldcrestwharf.log import LogFaults, MemoryLog, serve_log
from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.replay import CONFIG_STREAM, pack_record
from goldcrestwharf.settings import DaemonSettings
from goldcrestwharf.timers import SystemTimers
from test.helper import LOOPBACK, SEED
from test.replay.helper import make_publish
from test.system.mesh import TOKEN, find_ports, make_object_set


@attrs.define(kw_only=True, eq=False)
class Running:
    """A running daemon, its platform log in memory, and a client."""

    daemon: Daemon
    log: MemoryLog
    client: httpx.AsyncClient
    token: str = TOKEN

    async def request(
        self,
        method: str,
        path: str,
        body: object = None,
    ) -> httpx.Response:
        return await self.client.request(
            method,
            path,
            json=body,
            headers={'Authorization': f'Bearer {self.token}'},
        )

    async def publish(self, text: str, **options: object) -> httpx.Response:
        return await self.request(
            'POST', '/v1/publish', {'text': text, **options}
        )


@pytest.fixture
async def running() -> AsyncIterator[Running]:
    log = MemoryLog(timers=SystemTimers())
    peer, caller, local = find_ports(3)
    async with anyio.create_task_group() as tg:
        serve = partial(serve_log, stopping=anyio.Event())
        platform = await tg.start(serve, LOOPBACK, log)
        daemon = Daemon(
            cfg=DaemonSettings(
                vm='vm-1',
                zone='recife-a',
                cluster='test',
                cluster_key='a cluster key for tests that is no secret',
                admin_token=TOKEN,
                peer_address=f'127.0.0.1:{peer}',
                caller_address=f'127.0.0.1:{caller}',
                local_address=f'127.0.0.1:{local}',
                platform_url=f'http://{platform}',
            ),
            timers=SystemTimers(),
            rng=random.Random(SEED),
        )
        async with anyio.create_task_group() as inner:
            await inner.start(daemon.run)
            async with httpx.AsyncClient(
                base_url=f'http://127.0.0.1:{local}',
                timeout=30,
                trust_env=False,
            ) as client:
                yield Running(daemon=daemon, log=log, client=client)
            daemon.stop()
        tg.cancel_scope.cancel()


PROTECTED = (
    ('GET', '/v1/status'),
    ('GET', '/v1/fleet'),
    ('POST', '/v1/publish'),
    ('GET', '/v1/crashes'),
    ('DELETE', '/v1/crashes/abc'),
)


async def test_all_routes_but_health_require_the_token(
    running: Running,
) -> None:
    for token in ('none', 'wrong', TOKEN[:-1], TOKEN.upper()):
        running.token = token
        for method, path in PROTECTED:
            answer = await running.request(method, path)
            assert answer.status_code == 401, (token, path)
            assert 'admin_token' in answer.json()['remedy']


async def test_daemon_without_configuration_is_unhealthy(
    running: Running,
) -> None:
    health = await running.client.get('/v1/health')
    assert health.status_code == 503
    status = (await running.request('GET', '/v1/status')).json()
    assert status['daemon']['version'] == ''
    assert 'no configuration yet' in status['daemon']['trouble'][0]


async def test_each_publish_outcome_has_its_http_status(
    running: Running,
) -> None:
    published = await running.publish(make_object_set(), id='first')
    repeated = await running.publish(make_object_set(), id='first')
    unchanged = await running.publish(make_object_set())
    refused = await running.publish(make_object_set(service='lunhc'))
    superseded = await running.publish(
        make_object_set(timeout_ms=1), base='1.7'
    )
    assert published.json()['version'] == repeated.json()['version'] == '1.0'
    statuses = [
        answer.status_code
        for answer in (published, unchanged, refused, superseded)
    ]
    assert statuses == [200, 200, 422, 409]
    assert 'did you mean "lunch"' in refused.json()['problems'][0]


async def test_malformed_publish_body_is_refused(running: Running) -> None:
    for body in ([], {}, {'text': 1}, {'text': '{}', 'bases': '1.0'}):
        answer = await running.request('POST', '/v1/publish', body)
        assert answer.status_code in {400, 422}, body
        assert answer.json()


async def test_daemon_is_healthy_after_the_first_publish(
    running: Running,
) -> None:
    await running.publish(make_object_set())
    health = await running.client.get('/v1/health')
    while health.status_code != 200:
        health = await running.client.get('/v1/health')
    assert health.json() == {'ready': True, 'version': '1.0'}
    fleet = (await running.request('GET', '/v1/fleet')).json()
    assert (fleet['members'], fleet['on_version']) == (1, 1)
    behind = (await running.request('GET', '/v1/fleet?version=1.9')).json()
    assert [one['vm'] for one in behind['behind']] == ['vm-1']


async def test_publish_fails_while_the_platform_is_out(
    running: Running,
) -> None:
    running.log.inject_faults(LogFaults(is_unavailable=True))
    answer = await running.publish(make_object_set())
    assert answer.status_code in {503, 504}
    assert answer.json()['outcome'] in {'unavailable', 'unknown'}
    assert answer.json()['problems']


async def test_lifting_an_unknown_fingerprint_succeeds(
    running: Running,
) -> None:
    lifted = await running.request('DELETE', '/v1/crashes/0123456789abcdef')
    assert lifted.status_code == 200
    assert (await running.request('GET', '/v1/crashes')).json() == []


async def test_rules_of_a_newer_release_are_reported_as_trouble(
    running: Running,
) -> None:
    newer = pack_record(make_publish(ObjectSet(), rules=99))
    await running.log.append(CONFIG_STREAM, [newer])
    trouble: list[str] = []
    while not any('unknown revision 99' in line for line in trouble):
        status = (await running.request('GET', '/v1/status')).json()
        trouble = status['daemon']['trouble']
    assert status['daemon']['version'] == ''


async def test_replaced_log_is_trouble_until_an_epoch_starts(
    running: Running,
) -> None:
    await running.publish(make_object_set())
    await running.publish(make_object_set(timeout_ms=4000))
    await wait_for_trouble(running, '')
    running.log.replace()
    await wait_for_trouble(running, 'start an epoch')
    refused = await running.publish(make_object_set(timeout_ms=3000))
    assert refused.status_code == 422
    started = await running.publish(make_object_set(), new_epoch=2)
    assert started.json()['version'] == '2.0'
    await wait_for_trouble(running, '')


async def wait_for_trouble(running: Running, expected: str) -> None:
    """Wait until the status reports ``expected``, or no trouble if empty."""
    with anyio.fail_after(60):
        while True:
            status = (await running.request('GET', '/v1/status')).json()
            trouble = ' '.join(status['daemon']['trouble'])
            if expected in trouble and bool(expected) is bool(trouble):
                return
            await anyio.sleep(0.05)
