import pytest

from goldcrestwharf.objects import digest_of
from goldcrestwharf.replay import SnapshotHolder, Version
from test.replay.helper import make_set, make_snapshot

FIRST = make_set('menu')
SECOND = make_set('orders')


@pytest.mark.parametrize(
    ('version', 'is_run'),
    [
        (Version(1, 4), False),
        (Version(1, 5), False),
        (Version(1, 6), True),
        (Version(2, 0), True),
        (Version(0, 9), False),
    ],
)
def test_only_a_higher_version_is_activated(
    version: Version, is_run: bool
) -> None:
    holder = SnapshotHolder()
    holder.offer(make_snapshot(FIRST, Version(1, 5)))
    assert holder.offer(make_snapshot(SECOND, version)) is is_run
    assert holder.snapshot is not None
    assert (holder.snapshot.objects is SECOND) is is_run


@pytest.mark.parametrize(
    ('version', 'digest', 'is_run'),
    [
        (Version(1, 6), '', False),
        (Version(1, 5), '', True),
        (Version(1, 5), digest_of(FIRST), True),
        (Version(1, 5), digest_of(SECOND), False),
        (Version(1, 4), digest_of(SECOND), True),
    ],
)
def test_nothing_below_the_floor_is_activated_after_a_restart(
    version: Version,
    digest: str,
    is_run: bool,
) -> None:
    holder = SnapshotHolder()
    holder.raise_floor(version, digest)
    assert holder.offer(make_snapshot(FIRST, Version(1, 5))) is is_run
