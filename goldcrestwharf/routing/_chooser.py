"""Load balancer that chooses a target for each attempt."""

import random

from goldcrestwharf.membership import MembershipView
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.routing._group import GroupContext, GroupState
from goldcrestwharf.routing._model import (
    Candidate,
    TargetKey,
    TargetOutcome,
)
from goldcrestwharf.routing._pool import Constraints
from goldcrestwharf.routing._settings import RoutingSettings
from goldcrestwharf.timers import Timers

_NO_TARGETS: frozenset[TargetKey] = frozenset()


class TargetChooser:
    """Load balancer based on the outcomes of the local daemon's requests.

    Each choice must be followed by exactly one :meth:`record_outcome`, even
    if the outcome is ``ABANDONED``, since outstanding requests are counted.
    """

    def __init__(
        self,
        *,
        view: MembershipView,
        zone: str,
        timers: Timers,
        rng: random.Random,
        cfg: RoutingSettings,
    ) -> None:
        """Choose among the targets of ``view`` for a daemon in ``zone``."""
        self._view = view
        self._timers = timers
        self._context = GroupContext(zone=zone, cfg=cfg, rng=rng)
        self._groups: dict[str, GroupState] = {}
        self._group_of: dict[TargetKey, GroupState] = {}

    def choose(
        self,
        group_name: str,
        group: TargetGroup,
        *,
        exclude: frozenset[TargetKey] = _NO_TARGETS,
        may_probe: bool = True,
    ) -> Candidate | None:
        """Return a target for one attempt, ``None`` if no target is left.

        ``exclude`` holds the targets of earlier attempts. Without
        ``may_probe`` the request isn't used to probe an ejected target.
        """
        now = self._timers.now()
        state = self._find_group(group_name)
        state.refresh(self._view.targets(group_name), group, now)
        chosen = state.pick(
            Constraints(now=now, exclude=exclude, may_probe=may_probe),
        )
        if chosen is None:
            return None
        self._group_of[chosen.key] = state
        return chosen.candidate

    def record_outcome(self, outcome: TargetOutcome) -> None:
        """Record the outcome of an attempt."""
        state = self._group_of.get(outcome.key)
        if state is None:
            return
        if not state.record_outcome(outcome, self._timers.now()):
            self._group_of.pop(outcome.key)

    def spill_share(self, group_name: str) -> float:
        """Return the fraction of a group's requests sent to other zones."""
        state = self._groups.get(group_name)
        return 0 if state is None else state.spill_share

    def _find_group(self, name: str) -> GroupState:
        state = self._groups.get(name)
        if state is None:
            state = GroupState(context=self._context)
            self._groups[name] = state
        return state
