"""Check how the adapter decodes the platform's documents."""

import json
import math
from pathlib import Path
from types import MappingProxyType

import pytest

from goldcrestwharf.discovery import InstanceState
from goldcrestwharf.platform._configuration import decode_configuration
from goldcrestwharf.platform._heartbeats import (
    decode_heartbeat,
    decode_leave_notice,
)
from goldcrestwharf.platform._rollout_records import decode_order
from goldcrestwharf.platform._settings import read_settings
from goldcrestwharf.platform._settings_file import SettingsFile
from goldcrestwharf.platform._store_records import KeyedRecord
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    parse_duration,
    parse_version,
)
from goldcrestwharf.platform._workspaces import decode_workspaces
from goldcrestwharf.rollouts import RolloutTerms
from test.platform.helper import make_configuration

SETTINGS = """
node_name: "vm-1"
ip: "10.1.0.41"
zone: "recife-a"
listen:
  inbound: "10.1.0.41:8624"
  outbound: "10.1.0.41:8629"
  ready: "10.1.0.41:8625"
  control: "10.1.0.41:8620"
port_range: [7600, 7615]
seed_addrs: ["10.2.0.9:8620"]
heartbeat: "1500ms"
bounds:
  drain_timeout: "2000ms"
  grace_period: "6s"
  retry_budget_ratio: 0.2
  budget_window: "10s"
  budget_slack: 62
app_addr: "10.1.0.41:8628"
service: "huvo11a"
platform:
  address: "10.200.1.7:8627"
something_new: {a: 1}
"""


def decode(document: object) -> None:
    decode_configuration(json.dumps(document).encode())


@pytest.mark.parametrize(
    ('written', 'expected'),
    [('1500ms', 1.5), ('2.5s', 2.5), ('0ms', 0), ('30s', 30)],
)
def test_duration_is_decoded_to_seconds(written: str, expected: float) -> None:
    assert parse_duration(written) == pytest.approx(expected)


@pytest.mark.parametrize('written', ['5', 'ms', '1m', '', None, 5, 'x5ms'])
def test_invalid_duration_is_refused(written: object) -> None:
    with pytest.raises(PlatformFormatError):
        parse_duration(written)


@pytest.mark.parametrize('written', ['12', 'r', 'r-1', 'r1x', 12, None, 'r²'])
def test_invalid_version_is_refused(written: object) -> None:
    with pytest.raises(PlatformFormatError):
        parse_version(written)


def test_configuration_is_decoded_into_policies() -> None:
    written = json.dumps(make_configuration()).encode()
    snapshot = decode_configuration(written)
    route = snapshot.table.match(host='shop.example', path='/menu/a')
    assert route is not None
    assert snapshot.version == 12
    assert (route.timeout, route.objective) == (0.5, 0.2)
    assert (route.max_tries, route.priority) == (2, 2)
    assert route.is_repeatable
    assert route.weights == (('kitchen', 1),)
    assert snapshot.limits.idle_timeout == 15
    assert snapshot.document == written


def test_split_is_decoded_into_weights() -> None:
    parts = [
        {'service': 'kitchen', 'weight': 90},
        {'service': 'bar', 'weight': 10},
    ]
    action = {'traffic_split': parts, 'timeout': '1s', 'attempts': 1}
    document = make_configuration(action=action, route_type='non_idempotent')
    snapshot = decode_configuration(json.dumps(document).encode())
    route = snapshot.table.match(host='shop.example', path='/menu/a')
    assert route is not None
    assert route.weights == (('kitchen', 90), ('bar', 10))
    assert not route.is_repeatable


ACTION = MappingProxyType(
    {'service': 'kitchen', 'timeout': '1s', 'attempts': 1},
)


@pytest.mark.parametrize(
    'changes',
    [
        {'action': {**ACTION, 'service': 'nobody'}},
        {'action': {**ACTION, 'attempts': 0}},
        {'action': {**ACTION, 'attempts': '2'}},
        {'action': {**ACTION, 'timeout': '-1s'}},
        {'action': {**ACTION, 'timeout': 500}},
        {'action': {'timeout': '1s', 'attempts': 1}},
        {
            'action': {
                'traffic_split': [{'service': 'bar', 'weight': -1}],
                'timeout': '1s',
                'attempts': 1,
            },
        },
        {'route_type': 'sometimes'},
        {'target_latency': None},
        {'priority': True},
        {'match': {'path_prefix': 'menu/'}},
        {'match': {'path_prefix': '/menu'}},
        {'match': None},
    ],
)
def test_configuration_with_one_invalid_rule_is_refused(
    changes: dict[str, object],
) -> None:
    with pytest.raises(PlatformFormatError):
        decode(make_configuration(**changes))


@pytest.mark.parametrize('written', [b'', b'{', b'[]', b'{}', b'\xff\xfe'])
def test_invalid_configuration_document_is_refused(written: bytes) -> None:
    with pytest.raises(PlatformFormatError):
        decode_configuration(written)


def make_heartbeat() -> dict[str, object]:
    return {
        'address': '10.1.0.41:8628',
        'born': 1767790000000,
        'info': {
            'service': 'huvo11a',
            'version': 'v1',
            'zone': 'recife-a',
            'slot_count': 10,
        },
        'status': {'state': 'ready', 'sequence': 4, 'warmup_left': '500ms'},
    }


def test_heartbeat_is_decoded() -> None:
    beat = decode_heartbeat('i-1', json.dumps(make_heartbeat()).encode())
    assert beat.instance_id == 'i-1'
    assert beat.started_ms == 1767790000000
    assert (beat.sequence, beat.slots) == (4, 10)
    assert beat.state is InstanceState.READY
    assert beat.slow_start_left == 0.5
    assert beat.version == 'v1'


def test_heartbeat_may_name_no_version() -> None:
    document = make_heartbeat()
    info_table = document['info']
    assert isinstance(info_table, dict)
    info_table.pop('version')
    beat = decode_heartbeat('i-1', json.dumps(document).encode())
    assert not beat.version


@pytest.mark.parametrize(
    ('table', 'changes'),
    [
        (None, {'born': '1'}),
        (None, {'born': 1.5}),
        (None, {'born': 10**17}),
        (None, {'born': None}),
        (None, {'address': 5}),
        (None, {'info': []}),
        ('info', {'slot_count': '10'}),
        ('info', {'slot_count': 10**12}),
        ('info', {'service': None}),
        ('status', {'state': 'asleep'}),
        ('status', {'state': ['ready']}),
        ('status', {'sequence': True}),
        ('status', {'warmup_left': 5}),
    ],
)
def test_heartbeat_with_an_invalid_field_is_refused(
    table: str | None,
    changes: dict[str, object],
) -> None:
    document = make_heartbeat()
    changed = document if table is None else document[table]
    assert isinstance(changed, dict)
    changed.update(changes)
    with pytest.raises(PlatformFormatError):
        decode_heartbeat('i-1', json.dumps(document).encode())


@pytest.mark.parametrize(
    ('body', 'started_ms'),
    [
        (b'', None),
        (b'{}', None),
        (b'[]', None),
        (b'{"born": "5"}', None),
        (b'{"born": true}', None),
        (b'{"born": 1767790000000}', 1767790000000),
    ],
)
def test_unreadable_fields_of_a_deregistration_are_left_out(
    body: bytes,
    started_ms: int | None,
) -> None:
    notice = decode_leave_notice('i-1', body)
    assert (notice.instance_id, notice.started_ms) == ('i-1', started_ms)


def test_settings_are_decoded_and_unknown_fields_ignored(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text(SETTINGS)
    settings = read_settings(path)
    assert settings.proxy.callers == '10.1.0.41:8629'
    assert settings.proxy.peers == '10.1.0.41:7600'
    assert settings.proxy.target == '10.1.0.41:8628'
    assert settings.proxy.drain_timeout == 2
    assert settings.proxy.budget.slack == 62
    assert settings.store == '10.200.1.7:8627'
    assert settings.seeds == ('10.2.0.9:7600',)
    assert settings.proxy.rollout == RolloutTerms()


def test_bounds_of_rollouts_are_decoded(tmp_path: Path) -> None:
    path = tmp_path / 'settings.yaml'
    bounds = 'bounds:\n  expose_share: 0.2\n  expose_slack: 9\n  rollback: 3s'
    path.write_text(SETTINGS.replace('bounds:', bounds))
    terms = read_settings(path).proxy.rollout
    assert terms == RolloutTerms(expose_share=0.2, expose_slack=9, rollback=3)


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 'bar'},
        {'target_version': ''},
        {'target_version': None},
        {'duration': '0s'},
        {'duration': 12},
    ],
)
def test_invalid_order_is_refused(changes: dict[str, object]) -> None:
    order = {'service': 'a', 'target_version': 'v2', 'duration': '12s'}
    written = json.dumps({**order, **changes}).encode()
    with pytest.raises(PlatformFormatError):
        decode_order(KeyedRecord(key='rollout/a', payload=written), 1)


@pytest.mark.parametrize(
    ('limits', 'memory_bytes'),
    [
        ('limits: {memory_mb: 200}', 200_000_000),
        ('limits: {memory_mb: 0}', math.inf),
        ('limits: {memory_mb: many}', math.inf),
        ('limits: {}', math.inf),
        ('', math.inf),
    ],
)
def test_memory_of_the_process_is_decoded_if_it_is_limited(
    tmp_path: Path, limits: str, memory_bytes: float
) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text(f'{SETTINGS}{limits}\n')
    assert read_settings(path).proxy.memory_bytes == memory_bytes


def test_reload_applies_a_changed_settings_file(tmp_path: Path) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text(SETTINGS)
    settings = SettingsFile(path=path)
    path.write_text(SETTINGS.replace('budget_slack: 62', 'budget_slack: 9'))
    settings.reload()
    assert settings.current.proxy.budget.slack == 9


@pytest.mark.parametrize('written', ['', '{', 'a: 1', '[1]'])
def test_reload_of_unreadable_settings_keeps_the_old_ones(
    tmp_path: Path,
    written: str,
) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text(SETTINGS)
    settings = SettingsFile(path=path)
    before = settings.current
    path.write_text(written)
    settings.reload()
    assert settings.current is before


KEY = 'marked-key-0123456789'


def make_tenants(**changes: object) -> dict[str, object]:
    tenant = {
        'name': 'alpha',
        'api_keys': [KEY, 'another'],
        'priority': 1,
        'rate_per_s': 289,
        'burst': 30,
    }
    return {'tenants': [{**tenant, **changes}]}


def test_tenants_are_decoded_into_workspaces() -> None:
    table = decode_workspaces(make_tenants())
    assert table is not None
    workspace = table.find_by_key(KEY.encode())
    assert workspace is table.find('alpha')
    assert workspace is not None
    assert (workspace.priority, workspace.rate, workspace.burst) == (1, 289, 30)


def test_rate_that_is_missing_or_zero_means_no_limit() -> None:
    for rate in (0, None):
        table = decode_workspaces(make_tenants(rate_per_s=rate))
        assert table is not None
        workspace = table.find('alpha')
        assert workspace is not None
        assert workspace.rate is None


@pytest.mark.parametrize(
    'document',
    [
        {'tenants': {'alpha': KEY}},
        {'tenants': [KEY]},
        {'tenants': [{'name': 'alpha'}]},
        {'tenants': make_tenants()['tenants'] * 2},  # type: ignore[operator]
        make_tenants(api_keys=KEY),
        make_tenants(api_keys=[KEY, 7]),
        make_tenants(rate_per_s=-1),
        make_tenants(rate_per_s='many'),
        make_tenants(burst=True),
    ],
)
def test_invalid_tenants_are_refused_without_naming_a_key(
    document: dict[str, object],
) -> None:
    with pytest.raises(PlatformFormatError) as caught:
        decode_workspaces(document)
    assert KEY not in caught.value.reason
