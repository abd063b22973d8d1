"""Play the load of large meshes against placement."""

import attrs
import pytest

from test.placement.load_model import Mesh, Model, Outcome

HUNDREDS = Mesh(zones=6, callers=32, targets=18, slots=5, load=0.6)
THOUSAND = Mesh(
    zones=10,
    callers=100,
    targets=20,
    slots=5,
    load=0.6,
    seconds=5,
    warm_up=2.5,
)


def play(mesh: Mesh, **changes: object) -> Outcome:
    return Model(attrs.evolve(mesh, **changes)).run()  # type: ignore[arg-type]


@pytest.mark.parametrize('mesh', [HUNDREDS, THOUSAND], ids=['194', '1000'])
def test_daemons_with_old_reports_do_not_all_choose_the_same_targets(
    mesh: Mesh,
) -> None:
    outcome = play(mesh)
    informed = play(mesh, is_informed=True)
    late = outcome.late_share(mesh.objective)
    assert late < 2 * informed.late_share(mesh.objective) + 0.01
    assert outcome.unevenness < 1.2 * informed.unevenness


def test_targets_that_join_cost_the_callers_nothing() -> None:
    joins_at = HUNDREDS.joins_at
    outcome = play(HUNDREDS, load=0.4, joining=0.3)
    before = outcome.late_share(HUNDREDS.objective, end=joins_at)
    during = outcome.late_share(
        HUNDREDS.objective, start=joins_at, end=joins_at + 3
    )
    assert during < before + 0.02


def test_a_zone_without_room_sends_to_others_that_have_some() -> None:
    hot = attrs.evolve(HUNDREDS, load=0.5, hot=2.6)
    outcome = play(hot)
    informed = play(hot, is_informed=True)
    late = outcome.late_share(hot.objective)
    assert late < 2 * informed.late_share(hot.objective) + 0.01
    assert outcome.remote > 0


def test_tries_for_a_free_slot_find_room_during_swings_of_demand() -> None:
    """The load: four zones at 0.85 of the slots, demand that varies by half.

    Without them the reports are too old to show which targets have room.
    """
    swinging = Mesh(
        zones=4,
        callers=8,
        targets=8,
        slots=7,
        load=0.85,
        service_time=0.172,
        spread=0.8,
        speeds=(0.7, 0.7, 1.7),
        objective=0.726,
        deadline=1.686,
        swing=0.55,
        seconds=20,
        warm_up=2,
    )
    earlier = play(swinging)
    naive = play(swinging, is_blind=True)
    search = play(swinging, bounded_tries=3)
    late = search.late_share(swinging.objective)
    assert late < 0.7 * earlier.late_share(swinging.objective)
    assert late < 0.2 * naive.late_share(swinging.objective)
    assert search.remote < earlier.remote
