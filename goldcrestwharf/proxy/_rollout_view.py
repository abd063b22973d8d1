"""What this daemon sees of the daemons and targets of a roll-out."""

from collections.abc import Iterator

from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.rollouts import FleetView, Member, RolloutOrder

#: Share of the daemons in reach without which this one is cut off.
_MIN_REACH = 0.5


def list_members(core: Core, fleet: Fleet) -> Iterator[Member]:
    """Yield the daemons in reach that take part in roll-outs."""
    yield Member(
        name=core.cfg.name, has_contact=core.reader_election.has_contact
    )
    for link in fleet.links.values():
        is_sound = link.is_up and not link.liveness.is_suspect
        if is_sound and link.target.supports(PeerFeature.ROLLOUTS):
            yield Member(name=link.name, has_contact=link.target.reads_store)


def has_contact(core: Core, fleet: Fleet) -> bool:
    """Return whether orders would be known here.

    A daemon in reach reads the store, and no zone is cut off from the others;
    a reader notices the loss of the store only after some seconds.
    """
    if _find_reach(core, fleet) < _MIN_REACH:
        return False
    return any(member.has_contact for member in list_members(core, fleet))


def make_view(core: Core, fleet: Fleet, order: RolloutOrder) -> FleetView:
    """Return the targets that take requests, and how much is in reach."""
    slots: dict[bool, dict[str, int]] = {False: {}, True: {}}
    for target in fleet.candidates(order.service):
        if not target.is_draining:
            by_daemon = slots[target.version == order.version]
            by_daemon[target.daemon] = target.load.report.slots
    return FleetView(
        old=slots[False],
        new=slots[True],
        reach=_find_reach(core, fleet),
        is_in_use=core.rollouts.is_in_use(order),
    )


def _find_reach(core: Core, fleet: Fleet) -> float:
    """Return the share of the known daemons that are in reach."""
    reached = [link for link in fleet.links.values() if link.is_up]
    known = len(core.directory.records())
    return (1 + len(reached)) / (1 + known)
