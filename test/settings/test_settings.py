"""Test the checks of settings, and the files rendered from their schema."""

import json
from pathlib import Path

import pytest
from returns.result import Success

from goldcrestwharf import settings as package
from goldcrestwharf.documents import refusals, render_reference
from goldcrestwharf.settings import (
    DaemonSettings,
    load_settings,
    parse_settings,
    render_default,
    review_settings,
)

DEFAULT = Path(package.__file__).with_name('default.jsonc')
REFERENCE = Path(__file__).parents[2] / 'docs/reference/settings.md'
KEY = 'kL9-2vQx7_RtYp4WmZs8dFgHjB3nC6aE'
TOKEN = 'aE6Cn3BjHgFd8sZmW4pYtR_7xQv2-9Lk'
OVERLONG_FACTOR = 2000


def make_settings(**changes: object) -> bytes:
    fields = {
        'vm': 'vm-1',
        'zone': 'recife-a',
        'cluster': 'lunch',
        'cluster_key': KEY,
        'admin_token': TOKEN,
        'peer_address': '10.0.0.7:7001',
        'caller_address': '10.0.0.7:8080',
        'local_address': '127.0.0.1:7002',
        'platform_url': 'http://10.0.0.9:7000',
    }
    return json.dumps(fields | changes).encode()


def fields_with_refusals(raw: bytes) -> list[str]:
    problems = refusals(review_settings(raw).problems)
    return sorted({problem.place.field for problem in problems})


def test_valid_settings_have_no_problems() -> None:
    review = review_settings(
        make_settings(seeds=['10.0.0.8:7001', '[::1]:7001'])
    )
    assert review.problems == ()


def test_default_file_is_rendered_from_the_schema() -> None:
    """Run ``python scripts/render_pages.py`` to update the file."""
    assert DEFAULT.read_text() == render_default()


def test_default_file_has_the_defaults() -> None:
    cfg = review_settings(DEFAULT.read_bytes()).cfg
    assert cfg is not None
    required = parse_settings(make_settings()).unwrap()
    assert (cfg.peers, cfg.log, cfg.telemetry, cfg.drain_timeout_ms) == (
        required.peers,
        required.log,
        required.telemetry,
        required.drain_timeout_ms,
    )


def test_default_file_is_refused_only_for_its_secrets() -> None:
    assert fields_with_refusals(DEFAULT.read_bytes()) == [
        'admin_token',
        'cluster_key',
    ]


def test_reference_page_has_each_field() -> None:
    """Run ``python scripts/render_pages.py`` to update the file."""
    assert render_reference(DaemonSettings) in REFERENCE.read_text()


@pytest.mark.parametrize(
    ('changes', 'fields'),
    [
        ({'vm': ''}, ['vm']),
        ({'vm': 'VM 1'}, ['vm']),
        ({'zone': 'recife_a'}, ['zone']),
        ({'zone': '-a'}, ['zone']),
        ({'zone': 'a\n'}, ['zone']),
        ({'cluster': 7}, ['cluster']),
        ({'cluster_key': 'short'}, ['cluster_key']),
        ({'cluster_key': 'a' * 64}, ['cluster_key']),
        ({'cluster_key': 'password' * 8}, ['cluster_key']),
        ({'cluster_key': 'replace-me'}, ['cluster_key']),
        ({'cluster_key': 12345678901234567890}, ['cluster_key']),
        ({'cluster_key': KEY * OVERLONG_FACTOR}, ['cluster_key']),
        ({'admin_token': KEY}, ['admin_token']),
        ({'admin_token': ''}, ['admin_token']),
        ({'peer_address': 'vm-1.example:7001'}, ['peer_address']),
        ({'peer_address': '10.0.0.7'}, ['peer_address']),
        ({'peer_address': '10.0.0.7:0'}, ['peer_address']),
        ({'peer_address': '10.0.0.7:70000'}, ['peer_address']),
        ({'peer_address': '10.0.0.777:7001'}, ['peer_address']),
        ({'peer_address': '10.0.0.7:\u0667'}, ['peer_address']),
        ({'peer_address': '0.0.0.0:7001'}, ['peer_address']),
        ({'peer_address': '224.0.0.1:7001'}, ['peer_address']),
        ({'peer_address': '::1:7001'}, ['peer_address']),
        ({'caller_address': 'localhost:8080'}, ['caller_address']),
        ({'caller_address': '10.0.0.7:7001'}, ['caller_address']),
        ({'caller_address': '0.0.0.0:7001'}, ['caller_address']),
        ({'local_address': '0.0.0.0:8080'}, ['local_address']),
        ({'local_address': ''}, ['local_address']),
        ({'platform_url': '10.0.0.9:7000'}, ['platform_url']),
        ({'platform_url': 'ftp://10.0.0.9'}, ['platform_url']),
        ({'platform_url': 'http://a:b@10.0.0.9'}, ['platform_url']),
        ({'seeds': '10.0.0.8:7001'}, ['seeds']),
        ({'seeds': ['vm-2:7001']}, ['seeds.0']),
        ({'seeds': ['10.0.0.8:7001', '10.0.0.7:7001']}, ['seeds.1']),
        ({'seeds': ['10.0.0.8:7001', '10.0.0.8:7001']}, ['seeds']),
        ({'seeds': ['0.0.0.0:7001']}, ['seeds.0']),
        ({'drain_timeout_ms': '30s'}, ['drain_timeout_ms']),
        ({'drain_timeout_ms': -1}, ['drain_timeout_ms']),
        ({'drain_timeout': 30}, ['drain_timeout']),
        ({'coalescing_window_ms': 0.5}, ['coalescing_window_ms']),
        ({'log': 'debug'}, ['log']),
        ({'log': {'level': 'loud'}}, ['log.level']),
        ({'log': {'levl': 'info'}}, ['log.levl']),
        ({'telemetry': {'exporter': 'file'}}, ['telemetry.path']),
        ({'peers': {'silence_ms': 500}}, ['peers.silence_ms']),
        ({'peers': {'heartbeat_ms': 3000}}, ['peers.silence_ms']),
        ({'peers': {'heartbeat_ms': '3s'}}, ['peers.heartbeat_ms']),
        (
            {'peers': {'backoff_base_ms': 50_000, 'backoff_cap_ms': 10}},
            ['peers.backoff_cap_ms'],
        ),
    ],
)
def test_refusal_names_the_invalid_field(
    changes: dict[str, object],
    fields: list[str],
) -> None:
    assert fields_with_refusals(make_settings(**changes)) == fields


def test_all_invalid_fields_are_reported_together() -> None:
    fields = fields_with_refusals(
        b'{"zone": 1, "peers": {"heartbeat_ms": 0}, "x": 1}'
    )
    assert fields == [
        'admin_token',
        'caller_address',
        'cluster',
        'cluster_key',
        'local_address',
        'peer_address',
        'peers.heartbeat_ms',
        'platform_url',
        'vm',
        'x',
        'zone',
    ]


@pytest.mark.parametrize(
    'key',
    [KEY, f'{KEY}\x00', KEY[:20], KEY * OVERLONG_FACTOR, [KEY], {'a': KEY}],
    ids=['good', 'invisible', 'short', 'long', 'list', 'object'],
)
def test_no_message_contains_a_secret(key: object) -> None:
    review = review_settings(
        make_settings(cluster_key=key, admin_token=key, vm=1)
    )
    shown = '\n'.join([repr(review), *map(str, review.problems)])
    assert KEY[:8] not in shown


@pytest.mark.parametrize(
    ('changes', 'field'),
    [
        (
            {'peer_address': '127.0.0.1:7001', 'seeds': ['10.0.0.8:7001']},
            'peer_address',
        ),
        ({'telemetry': {'path': 'spans.json'}}, 'telemetry.path'),
    ],
)
def test_suspicious_settings_get_a_warning_and_are_accepted(
    changes: dict[str, object],
    field: str,
) -> None:
    raw = make_settings(**changes)
    problems = review_settings(raw).problems
    assert [problem.place.field for problem in problems] == [field]
    assert isinstance(parse_settings(raw), Success)


def test_missing_file_is_reported_as_a_problem(tmp_path: Path) -> None:
    problems = load_settings(tmp_path / 'none').failure()
    assert 'can not be read' in problems[0].reason


def test_settings_are_loaded_from_a_file(tmp_path: Path) -> None:
    path = tmp_path / 'daemon.jsonc'
    path.write_bytes(make_settings(drain_timeout_ms=5))
    assert load_settings(path).unwrap().drain_timeout_ms == 5
