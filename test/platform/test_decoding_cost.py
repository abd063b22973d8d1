"""Check that long values of another writer are decoded in linear time."""

from pathlib import Path
from tempfile import TemporaryDirectory

import pytest

from goldcrestwharf.platform._settings import read_settings
from goldcrestwharf.platform._values import PlatformFormatError
from test.platform.cost import run_with_limit
from test.platform.odd_values import (
    LONG_NUMBERS,
    LONG_VALUES,
    replace_each_field,
)
from test.platform.test_odd_settings import SETTINGS
from test.platform.test_odd_values import READERS


def decode_long_values(name: str) -> None:
    reader = READERS[name]
    for written in LONG_VALUES.values():
        for body in replace_each_field(reader.document, written):
            try:
                reader.decode(body)
            except PlatformFormatError as exc:
                assert len(exc.reason.encode()) < 1000


@pytest.mark.parametrize('name', READERS)
def test_long_value_in_any_field_is_decoded_in_linear_time(name: str) -> None:
    """Guards against one heartbeat that holds up a daemon for hours."""
    assert run_with_limit(decode_long_values, name)


def read_long_settings(kind: str) -> None:
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.yaml'
        for body in replace_each_field(dict(SETTINGS), LONG_NUMBERS[kind]):
            path.write_bytes(body)
            with pytest.raises(PlatformFormatError):
                read_settings(path)


@pytest.mark.parametrize('kind', LONG_NUMBERS)
def test_long_number_in_the_settings_is_refused_in_linear_time(
    kind: str,
) -> None:
    """Guards against base 60, whose conversion takes quadratic time."""
    assert run_with_limit(read_long_settings, kind)
