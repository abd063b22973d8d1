"""Determine whether this daemon follows the platform's log or a relay."""

import random
from collections.abc import Callable, Sequence

import attrs

from goldcrestwharf.distribution._settings import DistributionSettings
from goldcrestwharf.distribution._tree import RelayTree, order_members
from goldcrestwharf.membership import Member, MembershipView

_MS_PER_S = 1000

#: Return whether the platform answers; called by a reader.
LogHealth = Callable[[], bool]


@attrs.frozen(kw_only=True)
class TreePosition:
    """The position of this daemon in the relay tree of its local view.

    If views differ, one daemon more may be a reader; that costs the platform
    one more poll and is harmless otherwise.
    """

    view: MembershipView
    cfg: DistributionSettings
    rng: random.Random
    is_log_healthy: LogHealth

    def tree(self) -> RelayTree:
        """Return the relay tree of the local zone."""
        zone = self.view.local_member().zone
        return self._tree_of(zone)

    def is_reader(self) -> bool:
        """Return whether this daemon has to follow the log now."""
        return self.tree().is_reader(self.view.local_member().vm)

    def coalescing_window(self) -> float:
        """Return the seconds for which this daemon coalesces changes."""
        if self.is_reader():
            return self.cfg.coalescing_window_ms / _MS_PER_S
        return 0

    def parents(self) -> Sequence[Member]:
        """Return the daemons to follow, the preferred one first.

        A reader follows no daemon while the platform answers; otherwise it
        follows the readers of other zones, which may still reach the
        platform.
        """
        local = self.view.local_member()
        tree = self.tree()
        if not tree.is_reader(local.vm):
            return tree.parents(local.vm)
        if self.is_log_healthy():
            return ()
        return self._remote_readers(local)

    def _remote_readers(self, local: Member) -> Sequence[Member]:
        zones = {member.zone for member in self.view.members()}
        readers: list[Member] = []
        for zone in sorted(zones - {local.zone}):
            ordered = self._tree_of(zone).ordered
            readers.extend(ordered[: self.cfg.readers_per_zone])
        return self.rng.sample(readers, len(readers))

    def _tree_of(self, zone: str) -> RelayTree:
        return RelayTree(
            ordered=order_members(self.view.members(zone)),
            readers=self.cfg.readers_per_zone,
            fan_out=self.cfg.fan_out,
        )
