"""Summarize the fleet for an operator."""

from collections import Counter

import attrs

from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._model import Member, MemberState


@attrs.frozen(kw_only=True)
class ZoneSummary:
    """Count the members of one zone by state.

    ``is_stale`` is true if the zone can't be reached: what is known of it
    is kept from the last contact.
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
    """Count the daemons that were last heard to run a version."""

    version: str
    daemons: int


@attrs.frozen(kw_only=True)
class FleetSummary:
    """Tell what one daemon knows of the mesh.

    ``is_cut_off`` is true if it presumes to be cut off from its own zone.
    ``versions`` covers the members that this daemon has heard itself.
    """

    own: Member
    is_cut_off: bool
    zones: tuple[ZoneSummary, ...]
    versions: tuple[VersionCount, ...]
    gossip_backlog: int


def summarize(membership: Membership) -> FleetSummary:
    """Return the summary of what ``membership`` holds."""
    known = membership.known
    versions = known.witness.versions()
    zones = sorted({one.zone for one in known.table.records()})
    return FleetSummary(
        own=membership.own,
        is_cut_off=membership.is_cut_off,
        zones=tuple(_summarize_zone(membership, zone) for zone in zones),
        versions=tuple(
            VersionCount(version=version, daemons=versions[version])
            for version in sorted(versions)
        ),
        gossip_backlog=len(known.gossip),
    )


def _summarize_zone(membership: Membership, zone: str) -> ZoneSummary:
    records = membership.known.table.records(zone)
    states = Counter(record.state for record in records)
    live = (one for one in records if one.state is not MemberState.DEAD)
    return ZoneSummary(
        zone=zone,
        alive=states[MemberState.ALIVE],
        suspect=states[MemberState.SUSPECT],
        leaving=states[MemberState.LEAVING],
        dead=states[MemberState.DEAD],
        targets=sum(len(one.targets) for one in live),
        is_stale=zone in membership.known.zones.stale(),
    )
