import pytest

from goldcrestwharf.routing import RoutingSettings
from goldcrestwharf.routing._spillover import PoolLoad, SpilloverShare

CFG = RoutingSettings()


def make_load(usage: float, slots: int = 40) -> PoolLoad:
    return PoolLoad(requests=usage * slots, slots=slots)


def make_spill() -> SpilloverShare:
    spill = SpilloverShare(cfg=CFG)
    spill.start_percent = 85
    return spill


def run_steps(
    spill: SpilloverShare, local: float, others: float, *, steps: int
) -> float:
    """Return the share after a number of steps at constant usage."""
    for _ in range(steps):
        spill.step(make_load(local), make_load(others, 120), now=0)
    return spill.share


@pytest.mark.parametrize(
    ('local', 'others', 'expected'),
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
def test_spillover_starts_if_zone_is_full_and_others_have_capacity(
    local: float,
    others: float,
    expected: float,
) -> None:
    spill = make_spill()
    assert run_steps(spill, local, others, steps=1) == pytest.approx(expected)


@pytest.mark.parametrize(
    ('local', 'others', 'expected'),
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
def test_share_changes_by_bounded_step_or_stays(
    local: float,
    others: float,
    expected: float,
) -> None:
    spill = make_spill()
    spill.share = 0.4
    assert run_steps(spill, local, others, steps=1) == pytest.approx(expected)


def test_share_never_exceeds_even_distribution() -> None:
    assert run_steps(make_spill(), 5, 0, steps=100) == pytest.approx(0.75)


def test_share_returns_to_zero() -> None:
    spill = make_spill()
    run_steps(spill, 2, 0, steps=100)
    assert run_steps(spill, 0.1, 0, steps=15) == 0


def test_steps_keep_minimum_interval() -> None:
    spill = make_spill()
    assert spill.is_due(10)
    spill.step(make_load(1), make_load(0), now=10)
    assert not spill.is_due(10.19)
    assert spill.is_due(10.21)
