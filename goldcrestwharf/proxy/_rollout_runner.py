"""Control of the roll-outs that fall to this daemon."""

import asyncio

import attrs

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._rollout_reporter import RolloutReporter
from goldcrestwharf.proxy._rollout_statuses import RolloutStatuses
from goldcrestwharf.proxy._rollout_view import (
    has_contact,
    list_members,
    make_view,
)
from goldcrestwharf.rollouts import (
    Decision,
    FleetView,
    RolloutController,
    RolloutState,
    elect_controller,
)

_log = EventLog(__name__)

#: Interval of the steps, and least one of reports after a failure, in seconds.
_TICK_S = 0.1

#: Interval of the messages of the controller, in seconds.
_LEASE_INTERVAL_S = 0.5


class RolloutRunner:
    """Steps of all orders that aren't settled.

    ``statuses`` are those that this daemon has to write to the store.
    """

    def __init__(
        self, *, core: Core, fleet: Fleet, local_target: LocalTarget
    ) -> None:
        """Find members and targets in ``fleet``."""
        self.statuses = RolloutStatuses(core=core)
        self._core = core
        self._fleet = fleet
        self._reporter = RolloutReporter(
            core=core, fleet=fleet, local_target=local_target
        )
        self._leased_at: dict[str, float] = {}
        core.rollouts.has_contact = lambda: has_contact(core, fleet)

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            self.tick()

    def tick(self) -> None:
        """Do what is due for each order that isn't settled."""
        for state in self._core.rollouts.table:
            if self._is_finished(state):
                self.statuses.controlled.discard(state.order.service)
            else:
                self._follow(state)

    def _is_finished(self, state: RolloutState) -> bool:
        epoch = self._core.store_epochs.current
        return state.is_settled and state.written_epoch >= epoch

    def _follow(self, state: RolloutState) -> None:
        """Report on the local target, and control the order if elected."""
        service = state.order.service
        members = list_members(self._core, self._fleet)
        leader = elect_controller(service, members)
        if service == self._core.cfg.service and not state.is_settled:
            self._reporter.report(state, leader)
        rollouts = self._core.rollouts
        if leader != self._core.cfg.name:
            self.statuses.controlled.discard(service)
            rollouts.controllers[service].follow(state)
            return
        if service not in self.statuses.controlled:
            self.statuses.controlled.add(service)
            _log.note('rollout.controlled', service=service)
        # The store may have a terminal status that no daemon remembers.
        if state.has_started and not state.is_settled:
            self._control(state, rollouts.controllers[service])

    def _control(
        self, state: RolloutState, controller: RolloutController
    ) -> None:
        view = make_view(self._core, self._fleet, state.order)
        decision = controller.step(state, view)
        has_changed = self._core.rollouts.table.offer(decision.state)
        if decision.state.phase is not state.phase:
            totals = controller.book.compare().count()
            _log_decision(decision, view, totals)
        if not view.is_cut_off:
            self._renew_lease(state.order.service, is_due=has_changed)
        elif has_changed:
            self._core.rollouts.publish(state.order.service, is_lease=False)

    def _renew_lease(self, service: str, *, is_due: bool) -> None:
        now = self._core.clock()
        leased_at = self._leased_at.get(service, 0)
        if is_due or now - leased_at >= _LEASE_INTERVAL_S:
            self._leased_at[service] = now
            self._core.rollouts.publish(service, is_lease=True)


def _log_decision(
    decision: Decision, view: FleetView, totals: dict[str, int]
) -> None:
    state = decision.state
    finding = decision.finding
    _log.note(
        'rollout.decided',
        service=state.order.service,
        target_version=state.order.version,
        phase=state.phase.label,
        reason=decision.reason,
        old_targets=len(view.old),
        new_targets=len(view.new),
        reach=round(view.reach, 3),
        finding=None if finding is None else attrs.asdict(finding),
        **totals,
    )
