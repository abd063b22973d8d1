"""Define the state that the rules of the membership act on."""

import attrs

from goldcrestwharf.membership._gossip import GossipQueue
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._settings import MembershipSettings
from goldcrestwharf.membership._suspicions import (
    LocalHealth,
    Suspicions,
    ZoneScaling,
)
from goldcrestwharf.membership._table import MemberTable
from goldcrestwharf.membership._witness import Witness
from goldcrestwharf.membership._zones import ZoneReachability

_MS_PER_S = 1000
_PERCENT = 100

#: A single silent member is no evidence that the local daemon is cut off.
_MIN_SILENT_MEMBERS = 2

#: Deaths within this many suspicion timeouts count as one event.
_SILENCE_WINDOW_FACTOR = 2

#: The part of a datagram that one record may take.
_MAX_RECORD_FRACTION = 0.75


@attrs.frozen(kw_only=True)
class ClusterState:
    """Local view of the cluster that the rules of the membership act on.

    ``cut_off_fraction`` (0 to 1) is the silent fraction of ``zone`` from
    which on the daemon presumes that it is cut off itself.
    """

    zone: str
    cut_off_fraction: float
    table: MemberTable
    gossip: GossipQueue
    suspicions: Suspicions
    witness: Witness
    zones: ZoneReachability
    health: LocalHealth
    scaling: ZoneScaling

    def zone_size(self) -> int:
        """Return how many members of the local zone are not dead."""
        return self.table.live.of_zone(self.zone)

    def has_others(self) -> bool:
        """Return whether any other member is known that is not dead."""
        other_zones = set(self.table.live.zones()) - {self.zone}
        return bool(other_zones) or self.zone_size() > 1

    def suspicion_timeout(self) -> float:
        """Return the seconds until a new suspect counts as dead."""
        base = self.scaling.base_suspicion_timeout(self.zone_size())
        return base * self.health.factor()

    def looks_cut_off(self, now: float) -> bool:
        """Return whether so many are silent that this daemon is cut off."""
        window = _SILENCE_WINDOW_FACTOR * self.scaling.base_suspicion_timeout(
            self.zone_size()
        )
        counts = self.suspicions.count_silent(since=now - window)
        silent = counts.suspects + counts.deaths
        others = self.zone_size() - 1 + counts.deaths
        if silent < _MIN_SILENT_MEMBERS:
            return False
        return silent >= self.cut_off_fraction * others


def make_cluster_state(local: Member, cfg: MembershipSettings) -> ClusterState:
    """Return the state of a daemon that has just started."""
    return ClusterState(
        zone=local.zone,
        cut_off_fraction=cfg.cut_off_percent / _PERCENT,
        table=MemberTable(),
        gossip=GossipQueue(
            capacity=cfg.gossip_queue,
            max_change_bytes=int(cfg.datagram_bytes * _MAX_RECORD_FRACTION),
        ),
        suspicions=Suspicions(),
        witness=Witness(capacity=cfg.max_members),
        zones=ZoneReachability(local_zone=local.zone),
        health=LocalHealth(),
        scaling=ZoneScaling(
            period=cfg.period_ms / _MS_PER_S,
            suspicion_factor=cfg.suspicion_factor,
            gossip_factor=cfg.gossip_factor,
        ),
    )
