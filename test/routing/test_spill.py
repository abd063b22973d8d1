import pytest

from goldcrestwharf.routing import RoutingSettings
from goldcrestwharf.routing._spill import Room, SpillShare

CFG = RoutingSettings()


def make_room(usage: float, slots: int = 40) -> Room:
    return Room(requests=usage * slots, slots=slots)


def make_spill() -> SpillShare:
    spill = SpillShare(cfg=CFG)
    spill.start_percent = 85
    return spill


def run(spill: SpillShare, own: float, others: float, *, steps: int) -> float:
    """Make steps at a constant use and return the share after them."""
    for _ in range(steps):
        spill.step(make_room(own), make_room(others, 120), now=0)
    return spill.share


@pytest.mark.parametrize(
    ('own', 'others', 'expected'),
    [
        (0.5, 0, 0),
        (0.84, 0, 0),
        (0.85, 0, 0.01),
        (0.95, 0, 0.01),
        (1.05, 0, 0.02),
        (2, 0.84, 0.115),
        (4, 0, 0.2),
        (2, 0.85, 0),
        (2, 2, 0),
    ],
)
def test_a_share_begins_only_if_the_zone_is_full_and_others_have_room(
    own: float,
    others: float,
    expected: float,
) -> None:
    spill = make_spill()
    assert run(spill, own, others, steps=1) == pytest.approx(expected)


@pytest.mark.parametrize(
    ('own', 'others', 'expected'),
    [
        (0.8, 0.5, 0.4),
        (0.66, 0.5, 0.4),
        (0.64, 0.5, 0.39),
        (0.3, 0.5, 0.365),
        (0, 0.5, 0.335),
        (0.9, 0.9, 0.39),
        (0.9, 0.86, 0.4),
        (0.9, 1.4, 0.345),
        (0.95, 0.5, 0.41),
        (2, 0.5, 0.515),
        (9, 0.5, 0.6),
    ],
)
def test_a_share_changes_by_a_bounded_step_or_holds(
    own: float,
    others: float,
    expected: float,
) -> None:
    spill = make_spill()
    spill.share = 0.4
    assert run(spill, own, others, steps=1) == pytest.approx(expected)


def test_a_share_never_exceeds_an_even_spread() -> None:
    assert run(make_spill(), 5, 0, steps=100) == pytest.approx(0.75)


def test_a_share_goes_back_to_nothing() -> None:
    spill = make_spill()
    run(spill, 2, 0, steps=100)
    assert run(spill, 0.1, 0, steps=15) == 0


def test_steps_are_spaced_out() -> None:
    spill = make_spill()
    assert spill.is_due(10)
    spill.step(make_room(1), make_room(0), now=10)
    assert not spill.is_due(10.19)
    assert spill.is_due(10.21)
