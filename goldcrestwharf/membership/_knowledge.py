"""Gather the parts that the rules of the membership act on."""

import attrs

from goldcrestwharf.membership._gossip import GossipQueue
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._settings import MembershipSettings
from goldcrestwharf.membership._suspicions import (
    LocalHealth,
    Pace,
    Suspicions,
)
from goldcrestwharf.membership._table import MemberTable
from goldcrestwharf.membership._witness import Witness
from goldcrestwharf.membership._zones import ZoneContacts

_MS_PER_S = 1000
_PERCENT = 100

#: A single silent member is never a sign of being cut off oneself.
_FEWEST_SUSPECTS = 2

#: Deaths count as one event within this many times the suspicion time.
_WINDOW_FACTOR = 2

#: The share of a datagram that one record may take.
_RECORD_SHARE = 0.75


@attrs.frozen(kw_only=True)
class Knowledge:
    """Hold the parts that the rules of the membership act on.

    ``cut_off_share`` (0 to 1) is the suspected share of ``zone`` from which
    on the daemon presumes that it is cut off itself.
    """

    zone: str
    cut_off_share: float
    table: MemberTable
    gossip: GossipQueue
    suspicions: Suspicions
    witness: Witness
    zones: ZoneContacts
    health: LocalHealth
    pace: Pace

    def zone_size(self) -> int:
        """Return how many members of the own zone are not dead."""
        return self.table.live.of_zone(self.zone)

    def has_others(self) -> bool:
        """Tell whether any other member is known that is not dead."""
        other_zones = set(self.table.live.zones()) - {self.zone}
        return bool(other_zones) or self.zone_size() > 1

    def patience(self) -> float:
        """Return the seconds until a new suspect counts as dead."""
        base = self.pace.suspicion_time(self.zone_size())
        return base * self.health.factor()

    def looks_cut_off(self, now: float) -> bool:
        """Tell whether so many are silent that this daemon must be alone."""
        window = _WINDOW_FACTOR * self.pace.suspicion_time(self.zone_size())
        tally = self.suspicions.tally(since=now - window)
        silent = tally.suspects + tally.deaths
        others = self.zone_size() - 1 + tally.deaths
        if silent < _FEWEST_SUSPECTS:
            return False
        return silent >= self.cut_off_share * others


def make_knowledge(own: Member, cfg: MembershipSettings) -> Knowledge:
    """Return the knowledge of a daemon that has just started."""
    return Knowledge(
        zone=own.zone,
        cut_off_share=cfg.cut_off_percent / _PERCENT,
        table=MemberTable(),
        gossip=GossipQueue(
            capacity=cfg.gossip_queue,
            largest=int(cfg.datagram_bytes * _RECORD_SHARE),
        ),
        suspicions=Suspicions(),
        witness=Witness(capacity=cfg.max_members),
        zones=ZoneContacts(own_zone=own.zone),
        health=LocalHealth(),
        pace=Pace(
            period=cfg.period_ms / _MS_PER_S,
            suspicion_factor=cfg.suspicion_factor,
            gossip_factor=cfg.gossip_factor,
        ),
    )
