"""Test the learned limit on a model of one target under load.

The demand is the given part of the target's capacity and swings by three
tenths over 14 s. The rule is compared with the slots that the target names
(the earlier rule) and with a fixed 0.6 of them (the naive one).
"""

import statistics

import pytest

from test.capacity.scenes import make_scene
from test.capacity.target_model import Scene, TargetModel

SEEDS = (1, 2)

#: Standard deviation between seeds of the share in time with the named slots.
SPREAD = 0.02


def find_share(scene: Scene, **rule: object) -> float:
    """Return the mean share of requests in time."""
    return statistics.mean(
        TargetModel(scene, seed=seed, **rule).run().share  # type: ignore[arg-type]
        for seed in SEEDS
    )


@pytest.mark.parametrize('load', [0.5, 0.9, 1.3])
@pytest.mark.parametrize('slots', [7, 13])
@pytest.mark.parametrize('name', 'acdefgh')
def test_target_that_is_not_slowed_by_its_load_loses_nothing(
    name: str, slots: int, load: float
) -> None:
    scene = make_scene(name, slots, load)
    learned = find_share(scene)
    assert learned >= find_share(scene, make_limit=None) - SPREAD
    fixed = find_share(scene, make_limit=None, fixed=round(slots * 0.6))
    assert learned > fixed


@pytest.mark.parametrize('load', [0.9, 1.3])
@pytest.mark.parametrize('slots', [7, 13])
def test_target_that_is_slowed_by_its_load_gains(
    slots: int, load: float
) -> None:
    scene = make_scene('b', slots, load)
    named = find_share(scene, make_limit=None)
    assert find_share(scene) >= named + 2 * SPREAD
