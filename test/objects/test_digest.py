"""Hold the digest to naming the content of a set, in every release."""

import attrs
from hypothesis import given, settings

from goldcrestwharf.objects import (
    ObjectSet,
    TargetGroup,
    digest_of,
)
from test.objects.strategies import OBJECT_SETS, SMALL

#: The digest of a release stays the digest of later ones.
DIGEST_OF_SMALL = (
    '0570cea83598671f9b1dcffb950ce9913a64e4074def87290acb7d7848e07688'
)


@given(OBJECT_SETS, OBJECT_SETS)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_digests_are_equal_for_equal_sets_alone(
    one: ObjectSet,
    other: ObjectSet,
) -> None:
    assert (digest_of(one) == digest_of(other)) is (one == other)


@given(OBJECT_SETS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_digest_does_not_depend_on_the_order(objects: ObjectSet) -> None:
    turned = ObjectSet(
        target_groups=dict(reversed(objects.target_groups.items())),
        services=dict(reversed(objects.services.items())),
        routes=dict(reversed(objects.routes.items())),
    )
    assert digest_of(turned) == digest_of(objects)


def test_digest_is_the_same_in_every_release() -> None:
    assert digest_of(SMALL) == DIGEST_OF_SMALL


def test_digest_is_no_longer_when_a_default_is_written_out() -> None:
    written = attrs.evolve(SMALL, target_groups={'menu-pool': TargetGroup()})
    assert digest_of(written) == digest_of(SMALL)
