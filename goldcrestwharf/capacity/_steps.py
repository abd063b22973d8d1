"""Which limits to test next."""

import math

from goldcrestwharf.capacity._time_model import TimeModel

#: Largest lower limit to test, as a fraction of the present one. The smaller
#: the difference, the more requests it takes to tell the two apart.
_LARGEST_STEP_DOWN = 0.67

#: Factor by which a higher limit is tested.
_STEP_UP = 1.75

#: Difference of the logarithms of estimated throughputs within which the
#: highest of several limits is taken.
_EQUAL_GAIN = 0.05


def find_higher(limit: int, slots: int) -> int:
    """Return the next higher limit to test, ``slots`` at most."""
    return min(math.ceil(limit * _STEP_UP), slots)


def find_lower(limit: int, model: TimeModel, *, explores: bool) -> int | None:
    """Return a lower limit that seems to lose no throughput, if any.

    Of several that are about as good it is the highest. With nothing known of
    lower limits, as after a start under full load, the highest one that can
    be told apart is returned if ``explores`` is set.
    """
    highest = int(limit * _LARGEST_STEP_DOWN)
    gains = _find_gains(limit, highest, model)
    if not gains:
        return highest if highest and explores else None
    best = max(gains.values())
    if best < 0:
        return None
    return max(
        level for level, gain in gains.items() if gain >= best - _EQUAL_GAIN
    )


def _find_gains(limit: int, highest: int, model: TimeModel) -> dict[int, float]:
    """Return the logarithms of the estimated ratios of throughputs."""
    present = model.find_slowdown(limit) or 0
    gains: dict[int, float] = {}
    for level in range(1, highest + 1):
        slowdown = model.find_slowdown(level)
        if slowdown is not None:
            gains[level] = math.log(level / limit) + present - slowdown
    return gains
