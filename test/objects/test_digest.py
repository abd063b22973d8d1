"""Test that the digest identifies the content of a set in every release."""

import attrs
from hypothesis import given, settings

from goldcrestwharf.objects import (
    ObjectSet,
    TargetGroup,
    digest_of,
)
from test.objects.strategies import OBJECT_SETS, SMALL

#: Later releases must compute the same digest.
DIGEST_OF_SMALL = (
    '0570cea83598671f9b1dcffb950ce9913a64e4074def87290acb7d7848e07688'
)


@given(OBJECT_SETS, OBJECT_SETS)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_digests_are_equal_only_for_equal_sets(
    one: ObjectSet,
    other: ObjectSet,
) -> None:
    assert (digest_of(one) == digest_of(other)) is (one == other)


@given(OBJECT_SETS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_digest_does_not_depend_on_the_order(objects: ObjectSet) -> None:
    reversed_set = ObjectSet(
        target_groups=dict(reversed(objects.target_groups.items())),
        services=dict(reversed(objects.services.items())),
        routes=dict(reversed(objects.routes.items())),
    )
    assert digest_of(reversed_set) == digest_of(objects)


def test_digest_is_the_same_in_every_release() -> None:
    assert digest_of(SMALL) == DIGEST_OF_SMALL


def test_digest_ignores_explicit_defaults() -> None:
    written = attrs.evolve(SMALL, target_groups={'menu-pool': TargetGroup()})
    assert digest_of(written) == digest_of(SMALL)
