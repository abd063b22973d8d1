"""Give the other packages read access to the membership."""

from collections.abc import Sequence

from goldcrestwharf.membership._fleet import FleetSummary, summarize
from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._model import Member, MemberState, Target
from goldcrestwharf.membership._table import Changes
from goldcrestwharf.membership._targets import TargetIndex


class LiveView:
    """Current view of this daemon's membership.

    ``changes`` counts the changes and lets tasks wait for the next one.
    """

    def __init__(self, *, membership: Membership) -> None:
        """View ``membership``, which must have the local member only."""
        self._membership = membership
        self._table = membership.state.table
        self._targets = TargetIndex()
        self._targets.add(membership.local)
        self._table.indexes.append(self._targets)
        self.changes: Changes = self._table.changes

    def local_member(self) -> Member:
        """Return this daemon's own record."""
        return self._membership.local

    def members(self, zone: str | None = None) -> Sequence[Member]:
        """Return the members that are not dead, of one zone or of all."""
        records = self._table.records(zone)
        return [one for one in records if one.state is not MemberState.DEAD]

    def targets(self, group: str) -> Sequence[tuple[Member, Target]]:
        """Return the targets of a group that may take requests.

        Those of suspects are left out as long as there are others, unless
        this daemon presumes that it is cut off itself.
        """
        return self._targets.find(
            group,
            with_suspects=self._membership.is_cut_off,
        )

    def stale_zones(self) -> frozenset[str]:
        """Return the zones that can't be reached from the local one.

        Their members and targets are kept as of the last contact.
        """
        return self._membership.state.zones.stale()

    def floor_for(self, vm: str) -> str:
        """Return the version floor of ``vm``: the highest one reported.

        The text is empty if none was reported to this daemon.
        """
        return self._membership.state.witness.floor_for(vm)

    def fleet(self) -> FleetSummary:
        """Return a summary for an operator."""
        return summarize(self._membership)
