"""Choice between the local zone and other zones."""

import random

import attrs

from goldcrestwharf.routing._pool import Constraints, Pool, PoolEntry
from goldcrestwharf.routing._settings import RoutingSettings
from goldcrestwharf.routing._spillover import SpilloverShare


class ZonedPools:
    """Pools of the local zone and of other zones, with spillover."""

    def __init__(self, *, cfg: RoutingSettings, rng: random.Random) -> None:
        """Start with no targets."""
        self.local = Pool(entries=(), rng=rng)
        self.others = Pool(entries=(), rng=rng)
        self.spill = SpilloverShare(cfg=cfg)
        self._rng = rng

    def replace(self, entries: tuple[PoolEntry, ...], zone: str) -> None:
        """Split the targets into those in ``zone`` and all others."""
        self.local = Pool(
            entries=tuple(entry for entry in entries if entry.zone == zone),
            rng=self._rng,
        )
        self.others = Pool(
            entries=tuple(entry for entry in entries if entry.zone != zone),
            rng=self._rng,
        )

    def pick(
        self, constraints: Constraints, *, is_panic: bool
    ) -> PoolEntry | None:
        """Return a usable target, or else any allowed one."""
        self._adjust(constraints.now)
        found = None if is_panic else self._pick_in_order(constraints)
        if found is not None:
            return found
        return self._pick_in_order(
            attrs.evolve(constraints, allows_ejected=True)
        )

    def find_probe(self, constraints: Constraints) -> PoolEntry | None:
        """Return an ejected target that is due for a probe, if any."""
        entries = self.local.entries + self.others.entries
        due = (entry for entry in entries if constraints.may_probe_entry(entry))
        return next(due, None)

    def _pick_in_order(self, constraints: Constraints) -> PoolEntry | None:
        """Pick from both pools, other zones first for a retry.

        The failure of the first attempt may affect its whole zone.
        """
        if constraints.exclude or self._rng.random() < self.spill.share:
            return self.others.pick(constraints) or self.local.pick(constraints)
        return self.local.pick(constraints) or self.others.pick(constraints)

    def _adjust(self, now: float) -> None:
        if self.spill.is_due(now):
            others = self.others.load(now)
            self.spill.step(self.local.load(now), others, now)
