"""Find what keeps an order from the own target before it is queued."""

from collections.abc import Callable

import attrs

from goldcrestwharf.admission import (
    Refusal,
    RefusalReason,
    Shutdown,
    TargetHealth,
)
from goldcrestwharf.discovery import Instance, InstanceRegister
from goldcrestwharf.proxy._order import RunOrder

#: Share of the drain time in which orders of daemons that don't know yet of
#: the draining are still run.
_DRAIN_SHARE = 0.5


@attrs.frozen(kw_only=True)
class Obstacles:
    """Judge orders by what is known of the target and of this daemon.

    ``drain_timeout`` is the time, in seconds, after the acknowledgement of
    a target's leave notice in which it may still get requests.
    """

    register: InstanceRegister
    health: TargetHealth
    shutdown: Shutdown
    drain_timeout: float
    clock: Callable[[], float]

    def find(self, order: RunOrder, usual: float) -> Refusal | None:
        """Return why an order can't run; ``usual`` is its length, in s."""
        reason = self._find_reason(order, usual)
        return None if reason is None else Refusal(reason=reason)

    def _find_reason(
        self,
        order: RunOrder,
        usual: float,
    ) -> RefusalReason | None:
        instance = self.register.current
        if instance is None or not _is_meant(instance, order):
            return RefusalReason.NOT_HERE
        if self._is_drained(instance):
            return RefusalReason.DRAINING
        if not self.shutdown.admits(usual):
            return RefusalReason.LEAVING
        if self.health.allows_attempt(self.clock()):
            return None
        return RefusalReason.TARGET_DOWN

    def _is_drained(self, instance: Instance) -> bool:
        if instance.drains_since is None:
            return False
        served_for = self.clock() - instance.drains_since
        return served_for > self.drain_timeout * _DRAIN_SHARE


def _is_meant(instance: Instance, order: RunOrder) -> bool:
    """Tell whether an order is for an instance and its service."""
    beat = instance.beat
    wanted = (order.service, order.instance_id)
    return wanted == (beat.service, beat.instance_id)
