"""Choose the target of a request."""

import random

from goldcrestwharf.membership import MembershipView
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.routing._group import GroupContext, GroupState
from goldcrestwharf.routing._model import (
    Candidate,
    TargetKey,
    TargetOutcome,
)
from goldcrestwharf.routing._pool import Draw
from goldcrestwharf.routing._settings import RoutingSettings
from goldcrestwharf.timers import Timers

_NONE: frozenset[TargetKey] = frozenset()


class TargetChooser:
    """Choose targets by the requests that this daemon sent before.

    Each choice is followed by exactly one :meth:`note` of its outcome,
    ``ABANDONED`` included, since the requests outstanding are counted.
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
        """Choose for a daemon in ``zone`` among the targets of ``view``."""
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
        exclude: frozenset[TargetKey] = _NONE,
        may_probe: bool = True,
    ) -> Candidate | None:
        """Return a target for one try, ``None`` if there is none at all.

        ``exclude`` names the targets that earlier tries went to. Without
        ``may_probe`` the request isn't used to test an ejected target.
        """
        now = self._timers.now()
        state = self._find_group(group_name)
        state.refresh(self._view.targets(group_name), group, now)
        chosen = state.pick(
            Draw(now=now, exclude=exclude, may_probe=may_probe),
        )
        if chosen is None:
            return None
        self._group_of[chosen.key] = state
        return chosen.candidate

    def note(self, outcome: TargetOutcome) -> None:
        """Take in how a try at a target ended."""
        state = self._group_of.get(outcome.key)
        if state is None:
            return
        if not state.note(outcome, self._timers.now()):
            self._group_of.pop(outcome.key)

    def spill_share(self, group_name: str) -> float:
        """Return the share of a group's requests that leaves the zone."""
        state = self._groups.get(group_name)
        return 0 if state is None else state.spill_share

    def _find_group(self, name: str) -> GroupState:
        state = self._groups.get(name)
        if state is None:
            state = GroupState(context=self._context)
            self._groups[name] = state
        return state
