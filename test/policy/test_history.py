"""Test compressed updates between versions of a configuration."""

import json

import attrs
import pytest

from goldcrestwharf.policy import (
    CorruptUpdateError,
    PackedUpdate,
    PolicyHistory,
    UnknownBaseError,
)
from test.policy.helper import make_snapshot


def make_document(version: int, routes: int = 1000) -> bytes:
    listed = [
        {'name': f'r-{one}', 'spot': one * 7919 % 997, 'ms': 900}
        for one in range(routes)
    ]
    listed[version]['ms'] = 500
    document = {'version': version, 'routes': listed}
    return json.dumps(document).encode()


def make_history(*versions: int) -> PolicyHistory:
    history = PolicyHistory()
    for version in versions:
        snapshot = make_snapshot(version)
        history.add(attrs.evolve(snapshot, document=make_document(version)))
    return history


def test_update_is_small_and_unpacks_to_the_new_document() -> None:
    update = make_history(3, 4).pack(3)
    assert update is not None
    assert len(update.packed) < 200
    assert make_history(3).unpack(update) == make_document(4)


def test_daemon_without_configuration_gets_a_whole_one() -> None:
    update = make_history(3, 4).pack(0)
    assert update is not None
    assert update.base == 0
    assert len(update.packed) < len(make_document(4)) / 3
    assert PolicyHistory().unpack(update) == make_document(4)


def test_daemon_on_a_version_no_longer_kept_gets_a_whole_configuration() -> (
    None
):
    update = make_history(*range(1, 12)).pack(2)
    assert update is not None
    assert update.base == 0
    assert PolicyHistory().unpack(update) == make_document(11)


@pytest.mark.parametrize('base', [4, 5])
def test_daemon_that_is_up_to_date_gets_no_update(base: int) -> None:
    assert make_history(3, 4).pack(base) is None


def test_update_for_an_unknown_base_is_rejected() -> None:
    update = make_history(3, 4).pack(3)
    assert update is not None
    with pytest.raises(UnknownBaseError):
        PolicyHistory().unpack(update)


@pytest.mark.parametrize('at', [0, 10, -1])
def test_corrupt_update_is_rejected(at: int) -> None:
    update = make_history(3, 4).pack(3)
    assert update is not None
    corrupt = bytearray(update.packed)
    corrupt[at] ^= 0xFF
    with pytest.raises(CorruptUpdateError):
        make_history(3).unpack(attrs.evolve(update, packed=bytes(corrupt)))


def test_update_for_a_different_document_of_the_base_version_is_rejected() -> (
    None
):
    update = make_history(3, 4).pack(3)
    other = PolicyHistory()
    replaced = make_document(3).replace(b'900', b'901')
    other.add(attrs.evolve(make_snapshot(3), document=replaced))
    assert update is not None
    with pytest.raises(CorruptUpdateError):
        other.unpack(update)


def test_invalid_bytes_are_rejected() -> None:
    with pytest.raises(CorruptUpdateError):
        PolicyHistory().unpack(PackedUpdate(version=1, base=0, packed=b'no'))
