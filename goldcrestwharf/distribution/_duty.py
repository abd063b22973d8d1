"""Decide whether this daemon follows the platform's log or a relay."""

import random
from collections.abc import Callable, Sequence

import attrs

from goldcrestwharf.distribution._settings import DistributionSettings
from goldcrestwharf.distribution._tree import RelayTree, order_members
from goldcrestwharf.membership import Member, MembershipView

_MS_PER_S = 1000

#: Tell whether the platform answers; called by a reader.
LogHealth = Callable[[], bool]


@attrs.frozen(kw_only=True)
class ReaderDuty:
    """Compute this daemon's place in the relay tree from its own view.

    Two daemons that both believe they are the reader cost the platform one
    poll more and do no harm.
    """

    view: MembershipView
    cfg: DistributionSettings
    rng: random.Random
    is_log_healthy: LogHealth

    def tree(self) -> RelayTree:
        """Return the relay tree of the own zone."""
        zone = self.view.local_member().zone
        return self._tree_of(zone)

    def is_reader(self) -> bool:
        """Tell whether this daemon has to follow the log now."""
        return self.tree().is_reader(self.view.local_member().vm)

    def window(self) -> float:
        """Return the seconds for which this daemon gathers changes."""
        if self.is_reader():
            return self.cfg.coalescing_window_ms / _MS_PER_S
        return 0

    def parents(self) -> Sequence[Member]:
        """Return the daemons to follow, the preferred one first.

        A reader follows nobody while the platform answers; otherwise it
        follows the readers of other zones, which may still reach it.
        """
        own = self.view.local_member()
        tree = self.tree()
        if not tree.is_reader(own.vm):
            return tree.parents(own.vm)
        if self.is_log_healthy():
            return ()
        return self._remote_readers(own)

    def _remote_readers(self, own: Member) -> Sequence[Member]:
        zones = {member.zone for member in self.view.members()}
        readers: list[Member] = []
        for zone in sorted(zones - {own.zone}):
            ordered = self._tree_of(zone).ordered
            readers.extend(ordered[: self.cfg.readers_per_zone])
        return self.rng.sample(readers, len(readers))

    def _tree_of(self, zone: str) -> RelayTree:
        return RelayTree(
            ordered=order_members(self.view.members(zone)),
            readers=self.cfg.readers_per_zone,
            fan_out=self.cfg.fan_out,
        )
