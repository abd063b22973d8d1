"""Check that odd values in the settings file leave the settings as they are."""

from pathlib import Path
from types import MappingProxyType

import pytest

from goldcrestwharf.platform._settings import read_settings
from goldcrestwharf.platform._values import PlatformFormatError
from test.platform.odd_values import (
    ODD_JSON,
    assert_usable,
    replace_each_field,
)

SETTINGS = MappingProxyType(
    {
        'node_name': 'vm-1',
        'ip': '10.1.0.41',
        'zone': 'recife-a',
        'listen': {
            'outbound': '10.1.0.41:8629',
            'ready': '10.1.0.41:8625',
            'control': '10.1.0.41:8620',
        },
        'port_range': [7600, 7615],
        'seed_addrs': ['10.2.0.9:8620'],
        'heartbeat': '1500ms',
        'limits': {'memory_mb': 300, 'link_mbps': 1000},
        'bounds': {
            'drain_timeout': '2000ms',
            'grace_period': '6s',
            'retry_budget_ratio': 0.2,
            'budget_window': '10s',
            'budget_slack': 62,
            'expose_share': 0.1,
            'expose_slack': 50,
            'rollback': '5s',
        },
        'app_addr': '10.1.0.41:8628',
        'service': 'huvo11a',
        'platform': {'address': '10.200.1.7:8627', 'writes_per_s': 400},
    }
)


@pytest.mark.parametrize('kind', ODD_JSON)
def test_odd_value_in_the_settings_is_refused_or_usable(
    tmp_path: Path, kind: str
) -> None:
    path = tmp_path / 'settings.yaml'
    for written in replace_each_field(dict(SETTINGS), ODD_JSON[kind]):
        path.write_bytes(written)
        try:
            settings = read_settings(path)
        except PlatformFormatError as exc:
            assert len(exc.reason.encode()) < 1000
        else:
            assert_usable(settings.proxy.name)


@pytest.mark.parametrize(
    'written',
    ['!!int ""', '!!int "-"', '!!float ""', '!!bool x', '!!timestamp x'],
)
def test_text_that_does_not_fit_its_tag_is_refused(
    tmp_path: Path, written: str
) -> None:
    """Guards against errors of PyYAML that aren't YAMLError."""
    path = tmp_path / 'settings.yaml'
    for body in replace_each_field(dict(SETTINGS), written):
        path.write_bytes(body)
        with pytest.raises(PlatformFormatError):
            read_settings(path)
