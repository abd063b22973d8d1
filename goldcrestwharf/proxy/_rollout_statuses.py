"""Statuses of roll-outs that the store should have."""

from collections.abc import Iterator

import attrs

from goldcrestwharf.proxy._core import Core
from goldcrestwharf.rollouts import RolloutOrder, RolloutState, RolloutStatus


@attrs.frozen(kw_only=True)
class DueStatus:
    """Status of an order that began ``age`` seconds ago, to be written."""

    order: RolloutOrder
    status: RolloutStatus
    age: float


class RolloutStatuses:
    """Statuses that this daemon has to write, as the controller of orders.

    ``controlled`` names the services whose orders it controls.
    """

    def __init__(self, *, core: Core) -> None:
        """Read and update the states of ``core``."""
        self.controlled: set[str] = set()
        self._core = core
        self._running: dict[str, tuple[object, int]] = {}

    def list_due(self) -> Iterator[DueStatus]:
        """Yield the statuses that the store isn't known to have."""
        rollouts = self._core.rollouts
        for service in tuple(self.controlled):
            state = rollouts.table.find(service)
            if state is None:
                continue
            status = rollouts.controllers[service].find_status(state)
            if not self._is_known(state, status):
                yield DueStatus(
                    order=state.order,
                    status=status,
                    age=self._core.clock() - state.began_at,
                )

    def record(
        self, order: RolloutOrder, status: RolloutStatus, epoch: int
    ) -> None:
        """Record a status that the store has in one of its epochs."""
        state = self._core.rollouts.table.find(order.service)
        if state is None or state.order.identity != order.identity:
            return
        if status is RolloutStatus.RUNNING:
            self._running[order.service] = (order.identity, epoch)
            self._core.rollouts.offer(attrs.evolve(state, has_started=True))
            return
        self._core.rollouts.offer(
            attrs.evolve(
                state,
                phase=status.phase,
                has_started=True,
                is_written=True,
                written_epoch=epoch,
            ),
        )

    def _is_known(self, state: RolloutState, status: RolloutStatus) -> bool:
        epoch = self._core.store_epochs.current
        if status is RolloutStatus.RUNNING:
            known = self._running.get(state.order.service)
            return known == (state.order.identity, epoch)
        return state.is_settled and state.written_epoch >= epoch
