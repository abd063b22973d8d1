"""Decide which share of a zone's requests goes to other zones."""

import attrs

from goldcrestwharf.routing._settings import RoutingSettings

_PERCENT = 100
_MS_PER_SECOND = 1000
_MIN_STEP_PERCENT = 1
_GAIN = 0.1


@attrs.frozen(kw_only=True)
class Room:
    """Sum the requests at and the slots of the usable targets of a pool."""

    requests: float
    slots: int

    @property
    def usage(self) -> float:
        """Return requests per slot; a pool without slots counts as full."""
        return self.requests / self.slots if self.slots else 1


class SpillShare:
    """Move the share in small steps, with hysteresis.

    The share rises while the own zone is used above ``start_percent`` and
    other zones have room, and falls below a lower bound or when the others
    are as busy. Between the bounds it stays, so that zones don't push the
    same requests to and fro. It never exceeds what spreads them evenly.
    """

    def __init__(self, *, cfg: RoutingSettings) -> None:
        """Start with nothing spilled."""
        self.share: float = 0
        self.start_percent = _PERCENT
        self._cfg = cfg
        self._stepped_at = float('-inf')

    def is_due(self, now: float) -> bool:
        """Tell whether the next step may be made."""
        passed = (now - self._stepped_at) * _MS_PER_SECOND
        return passed >= self._cfg.spill_step_ms

    def step(self, own: Room, others: Room, now: float) -> None:
        """Adjust the share to the measured room."""
        self._stepped_at = now
        ceiling = others.slots / max(own.slots + others.slots, 1)
        change = self._find_change(own, others)
        moved = self.share + change / _PERCENT
        self.share = min(max(moved, 0), ceiling)

    def _find_change(self, own: Room, others: Room) -> float:
        """Return the change in percent, larger the farther use is off."""
        excess = own.usage * _PERCENT - self.start_percent
        others_excess = others.usage * _PERCENT - self.start_percent
        if excess < -self._cfg.spill_band_percent:
            return -self._bound(-excess - self._cfg.spill_band_percent)
        if others_excess >= 0:
            is_worse = others_excess >= excess
            return -self._bound(others_excess) if is_worse else 0
        return self._bound(excess) if excess >= 0 else 0

    def _bound(self, error: float) -> float:
        """Return the size of a step for an error in percent."""
        wanted = max(error * _GAIN, _MIN_STEP_PERCENT)
        return min(wanted, self._cfg.spill_step_percent)
