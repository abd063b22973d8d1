"""Order the own zone and the others for one choice."""

import random

import attrs

from goldcrestwharf.routing._pool import Draw, Entry, Pool
from goldcrestwharf.routing._settings import RoutingSettings
from goldcrestwharf.routing._spill import SpillShare


class ZonedPools:
    """Pick from the own zone first and spill over to others."""

    def __init__(self, *, cfg: RoutingSettings, rng: random.Random) -> None:
        """Start without targets."""
        self.own = Pool(entries=(), rng=rng)
        self.others = Pool(entries=(), rng=rng)
        self.spill = SpillShare(cfg=cfg)
        self._rng = rng

    def replace(self, entries: tuple[Entry, ...], zone: str) -> None:
        """Part the targets into those in ``zone`` and all others."""
        self.own = Pool(
            entries=tuple(entry for entry in entries if entry.zone == zone),
            rng=self._rng,
        )
        self.others = Pool(
            entries=tuple(entry for entry in entries if entry.zone != zone),
            rng=self._rng,
        )

    def pick(self, draw: Draw, *, is_panic: bool) -> Entry | None:
        """Return a usable target, or any allowed one if there is none."""
        self._adjust(draw.now)
        found = None if is_panic else self._pick_in_order(draw)
        if found is not None:
            return found
        return self._pick_in_order(attrs.evolve(draw, is_desperate=True))

    def find_probe(self, draw: Draw) -> Entry | None:
        """Return an ejected target that is due for a test, if any."""
        entries = self.own.entries + self.others.entries
        due = (entry for entry in entries if draw.may_test(entry))
        return next(due, None)

    def _pick_in_order(self, draw: Draw) -> Entry | None:
        """Pick from both pools, the other zones first for a further try.

        What the first try met may be common to its zone.
        """
        if draw.exclude or self._rng.random() < self.spill.share:
            return self.others.pick(draw) or self.own.pick(draw)
        return self.own.pick(draw) or self.others.pick(draw)

    def _adjust(self, now: float) -> None:
        if self.spill.is_due(now):
            others = self.others.room(now)
            self.spill.step(self.own.room(now), others, now)
