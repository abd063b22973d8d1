"""Spillover: the share of a zone's requests sent to other zones."""

import attrs

from goldcrestwharf.routing._settings import RoutingSettings

_PERCENT = 100
_MS_PER_S = 1000
_MIN_STEP_PERCENT = 1
_GAIN = 0.1


@attrs.frozen(kw_only=True)
class PoolLoad:
    """Total requests and slots of the usable targets of a pool."""

    requests: float
    slots: int

    @property
    def usage(self) -> float:
        """Return requests per slot; a pool without slots counts as full."""
        return self.requests / self.slots if self.slots else 1


class SpilloverShare:
    """Spillover share, adjusted in small steps with hysteresis.

    The share rises while the local zone's usage is above ``start_percent``
    and other zones have spare capacity. It falls below a lower bound, or if
    the others are as busy. In between it stays constant, so that zones don't
    bounce the same requests. It never exceeds an even distribution.
    """

    def __init__(self, *, cfg: RoutingSettings) -> None:
        """Start with no spillover."""
        self.share: float = 0
        self.start_percent = _PERCENT
        self._cfg = cfg
        self._stepped_at = float('-inf')

    def is_due(self, now: float) -> bool:
        """Return whether the next step is due."""
        elapsed_ms = (now - self._stepped_at) * _MS_PER_S
        return elapsed_ms >= self._cfg.spill_step_ms

    def step(self, local: PoolLoad, others: PoolLoad, now: float) -> None:
        """Adjust the share to the measured load."""
        self._stepped_at = now
        ceiling = others.slots / max(local.slots + others.slots, 1)
        change = self._find_change(local, others)
        share = self.share + change / _PERCENT
        self.share = min(max(share, 0), ceiling)

    def _find_change(self, local: PoolLoad, others: PoolLoad) -> float:
        """Return the change in percent, proportional to the usage error."""
        excess = local.usage * _PERCENT - self.start_percent
        others_excess = others.usage * _PERCENT - self.start_percent
        if excess < -self._cfg.spill_band_percent:
            return -self._bound(-excess - self._cfg.spill_band_percent)
        if others_excess >= 0:
            is_worse = others_excess >= excess
            return -self._bound(others_excess) if is_worse else 0
        return self._bound(excess) if excess >= 0 else 0

    def _bound(self, error: float) -> float:
        """Return the step size in percent for an error in percent."""
        step = max(error * _GAIN, _MIN_STEP_PERCENT)
        return min(step, self._cfg.spill_step_percent)
