"""Exchange of roll-outs between daemons.

Readers of the store offer orders; each order goes to all daemons. The
controller of a service sends the phase of its order to all daemons, and each
daemon beside a target of the service sends evidence to the controller.
"""

import random
from collections.abc import Callable

from goldcrestwharf.discovery import InstanceTracker
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy import _rollout_metrics
from goldcrestwharf.proxy._config_exchange import Peer
from goldcrestwharf.proxy._rollout_messages import (
    RolloutEvidence,
    RolloutNotice,
    pack_state,
)
from goldcrestwharf.proxy._rollout_recorder import RolloutRecorder
from goldcrestwharf.proxy._settings import ProxySettings
from goldcrestwharf.rollouts import (
    MAX_LEASE_S,
    RolloutController,
    RolloutOrder,
    RolloutState,
    RolloutTable,
    VersionRegistry,
    VersionShare,
)

_log = EventLog(__name__)

#: Largest part of the time for which a bad version may get requests that a
#: lease may take.
_MAX_LEASE_FRACTION = 0.4


class RolloutExchange:
    """States of roll-outs at this daemon, and their exchange.

    ``controllers`` has one for each order that isn't settled, by service.
    ``senders`` names the daemons that last claimed to control a service.
    ``has_contact`` returns whether a daemon in reach reads the store.
    """

    def __init__(
        self,
        *,
        cfg: ProxySettings,
        instance_tracker: InstanceTracker,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start without orders; :meth:`watch` sets who is informed.

        Answers of the target in ``instance_tracker`` are evidence.
        """
        terms = cfg.rollout
        self.table = RolloutTable(
            clock=clock,
            lease=min(MAX_LEASE_S, terms.rollback * _MAX_LEASE_FRACTION),
        )
        self._registry = VersionRegistry(
            clock=clock, has_contact=lambda: self.has_contact()
        )
        self.share = VersionShare(
            table=self.table,
            registry=self._registry,
            terms=terms,
            rng=rng,
        )
        self.recorder = RolloutRecorder(
            daemon=cfg.name,
            zone=cfg.zone,
            table=self.table,
            instance_tracker=instance_tracker,
            clock=clock,
        )
        self.controllers: dict[str, RolloutController] = {}
        self.senders: dict[str, str] = {}
        self.has_contact: Callable[[], bool] = _have_none
        self._terms = terms
        self._clock = clock
        self._send: Callable[[RolloutNotice], None] = _drop
        self.table.watch(self._handle_change)

    def watch(self, send: Callable[[RolloutNotice], None]) -> None:
        """Pass what this daemon learns from the store to ``send``."""
        self._send = send

    def is_in_use(self, order: RolloutOrder) -> bool:
        """Return whether the ordered version already gets all requests."""
        return self._registry.is_established(order.service, order.version)

    def offer(self, state: RolloutState) -> None:
        """Take in the state of an order that this daemon read or decided."""
        if self.table.offer(state):
            self.publish(state.order.service, is_lease=False)

    def publish(self, service: str, *, is_lease: bool) -> None:
        """Send the state of a service's order to all daemons."""
        state = self.table.find(service)
        if state is None:
            return
        if is_lease:
            self.table.renew_lease(state)
        packed = pack_state(state, self._clock())
        self._send(RolloutNotice(states=[packed], is_lease=is_lease))

    def make_notice(self) -> RolloutNotice | None:
        """Return the states of all orders, if there are any."""
        now = self._clock()
        states = [pack_state(state, now) for state in self.table]
        return RolloutNotice(states=states) if states else None

    def receive_notice(self, peer: Peer, notice: RolloutNotice) -> None:
        """Take in the states that another daemon sent."""
        for state in notice.unpack(self._clock()):
            self.table.offer(state)
            if notice.is_lease:
                self.senders[state.order.service] = peer.name
                self.table.renew_lease(state)

    def receive_evidence(self, evidence: RolloutEvidence) -> None:
        """Take in the totals of the target beside a daemon."""
        state = self.table.find(evidence.service)
        controller = self.controllers.get(evidence.service)
        if state is None or controller is None:
            return
        if state.order.offset == evidence.offset:
            controller.receive(evidence.unpack())

    def _handle_change(
        self, before: RolloutState | None, state: RolloutState
    ) -> None:
        order = state.order
        is_new = before is None or before.order.identity != order.identity
        if is_new:
            self.senders.pop(order.service, None)
            self.controllers[order.service] = RolloutController(
                order=order, terms=self._terms, clock=self._clock
            )
        if is_new or before is None or before.phase is not state.phase:
            _rollout_metrics.count_phase(state.phase.label)
        _log.note(
            'rollout.state',
            service=order.service,
            target_version=order.version,
            order=order.offset,
            epoch=order.epoch,
            phase=state.phase.label,
            rotation=state.rotation,
            age_s=round(self._clock() - state.began_at, 3),
            is_written=state.is_written,
        )


def _have_none() -> bool:
    return False


def _drop(_: RolloutNotice) -> None:
    """Inform nobody."""
