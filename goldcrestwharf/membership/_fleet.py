"""Summarize the fleet for an operator."""

from collections import Counter

import attrs

from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._model import Member, MemberState


@attrs.frozen(kw_only=True)
class ZoneSummary:
    """Numbers of members of one zone by state.

    ``is_stale`` is true if the zone can't be reached and the numbers are
    those of the last contact.
    """

    zone: str
    alive: int
    suspect: int
    leaving: int
    dead: int
    targets: int
    is_stale: bool


@attrs.frozen(kw_only=True)
class VersionCount:
    """Number of daemons whose latest reported version is ``version``."""

    version: str
    daemons: int


@attrs.frozen(kw_only=True)
class FleetSummary:
    """Summary of one daemon's view of the mesh.

    ``is_cut_off`` is true if it presumes to be cut off from its zone.
    ``versions`` covers the members that reported to this daemon directly.
    """

    local: Member
    is_cut_off: bool
    zones: tuple[ZoneSummary, ...]
    versions: tuple[VersionCount, ...]
    gossip_backlog: int


def summarize(membership: Membership) -> FleetSummary:
    """Return the summary of ``membership``."""
    state = membership.state
    versions = state.witness.versions()
    zones = sorted({one.zone for one in state.table.records()})
    return FleetSummary(
        local=membership.local,
        is_cut_off=membership.is_cut_off,
        zones=tuple(_summarize_zone(membership, zone) for zone in zones),
        versions=tuple(
            VersionCount(version=version, daemons=versions[version])
            for version in sorted(versions)
        ),
        gossip_backlog=len(state.gossip),
    )


def _summarize_zone(membership: Membership, zone: str) -> ZoneSummary:
    records = membership.state.table.records(zone)
    states = Counter(record.state for record in records)
    live = (one for one in records if one.state is not MemberState.DEAD)
    return ZoneSummary(
        zone=zone,
        alive=states[MemberState.ALIVE],
        suspect=states[MemberState.SUSPECT],
        leaving=states[MemberState.LEAVING],
        dead=states[MemberState.DEAD],
        targets=sum(len(one.targets) for one in live),
        is_stale=zone in membership.state.zones.stale(),
    )
