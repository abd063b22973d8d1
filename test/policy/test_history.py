"""Check that configurations travel as changes, and arrive whole."""

import json

import attrs
import pytest

from goldcrestwharf.policy import (
    DamagedUpdateError,
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
        history.note(attrs.evolve(snapshot, document=make_document(version)))
    return history


def test_change_is_small_and_arrives_whole() -> None:
    update = make_history(3, 4).pack(3)
    assert update is not None
    assert len(update.packed) < 200
    assert make_history(3).unpack(update) == make_document(4)


def test_daemon_without_a_version_gets_a_whole_one() -> None:
    update = make_history(3, 4).pack(0)
    assert update is not None
    assert update.base == 0
    assert len(update.packed) < len(make_document(4)) / 3
    assert PolicyHistory().unpack(update) == make_document(4)


def test_daemon_far_behind_gets_a_whole_one() -> None:
    update = make_history(*range(1, 12)).pack(2)
    assert update is not None
    assert update.base == 0
    assert PolicyHistory().unpack(update) == make_document(11)


@pytest.mark.parametrize('base', [4, 5])
def test_daemon_that_is_not_behind_gets_nothing(base: int) -> None:
    assert make_history(3, 4).pack(base) is None


def test_change_of_an_unknown_version_is_turned_down() -> None:
    update = make_history(3, 4).pack(3)
    assert update is not None
    with pytest.raises(UnknownBaseError):
        PolicyHistory().unpack(update)


@pytest.mark.parametrize('at', [0, 10, -1])
def test_damaged_change_is_turned_down(at: int) -> None:
    update = make_history(3, 4).pack(3)
    assert update is not None
    damaged = bytearray(update.packed)
    damaged[at] ^= 0xFF
    with pytest.raises(DamagedUpdateError):
        make_history(3).unpack(attrs.evolve(update, packed=bytes(damaged)))


def test_change_of_another_text_of_the_same_version_is_turned_down() -> None:
    update = make_history(3, 4).pack(3)
    other = PolicyHistory()
    replaced = make_document(3).replace(b'900', b'901')
    other.note(attrs.evolve(make_snapshot(3), document=replaced))
    assert update is not None
    with pytest.raises(DamagedUpdateError):
        other.unpack(update)


def test_bytes_that_are_no_change_are_turned_down() -> None:
    with pytest.raises(DamagedUpdateError):
        PolicyHistory().unpack(PackedUpdate(version=1, base=0, packed=b'no'))
