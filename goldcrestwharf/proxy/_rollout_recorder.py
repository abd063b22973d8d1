"""Evidence about the version of the local target."""

from collections.abc import Callable

from goldcrestwharf.discovery import Instance, InstanceTracker
from goldcrestwharf.proxy import _rollout_metrics
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.proxy._rollout_messages import RolloutEvidence, pack_counts
from goldcrestwharf.rollouts import EvidenceCounter, RolloutOrder, RolloutTable

#: Least time between two broken connections that count, in seconds: when the
#: process of a target ends, all its connections break at once, which says no
#: more than one of them.
_MIN_BREAK_INTERVAL_S = 0.1


_GIVEN_UP = Lost(reason='given up after its objective')


class RolloutRecorder:
    """Counter of the answers of the local target since the last order.

    ``has_news`` is set by failures, which the controller should know early.
    """

    def __init__(
        self,
        *,
        daemon: str,
        zone: str,
        table: RolloutTable,
        instance_tracker: InstanceTracker,
        clock: Callable[[], float],
    ) -> None:
        """Count while ``table`` has an order for the target's service."""
        self.has_news = False
        self._daemon = daemon
        self._zone = zone
        self._table = table
        self._instance_tracker = instance_tracker
        self._clock = clock
        self._counter = EvidenceCounter()
        self._order: tuple[str, str, int] | None = None
        self._cold_until: float = 0
        self._broke_at = clock() - _MIN_BREAK_INTERVAL_S

    def record(
        self, attempt: Attempt, outcome: Outcome | None, began_at: float
    ) -> None:
        """Record an attempt that had a slot from ``began_at`` on."""
        instance = self._instance_tracker.current
        if instance is None or not self._has_order(attempt.service):
            return
        if outcome is not None:
            self._count(attempt.request_class, outcome, began_at, instance)
        elif self._clock() - began_at >= attempt.objective_left:
            # Its time was up at the entry, or its caller gave up a late one.
            self._count(attempt.request_class, _GIVEN_UP, began_at, instance)

    def make_evidence(
        self, order: RolloutOrder, in_flight: int
    ) -> RolloutEvidence:
        """Return the totals since an order."""
        self._follow_order(order)
        self._note_slow_start()
        self.has_news = False
        return RolloutEvidence(
            daemon=self._daemon,
            service=order.service,
            offset=order.offset,
            in_flight=in_flight,
            routes=[
                pack_counts(version, route, counts)
                for version, routes in self._counter.by_version.items()
                for route, counts in routes.items()
            ],
            zone=self._zone,
        )

    def _has_order(self, service: str) -> bool:
        """Return whether answers of a service count, and for which order."""
        state = self._table.find(service)
        if state is None or state.is_settled:
            return False
        self._follow_order(state.order)
        return True

    def _follow_order(self, order: RolloutOrder) -> None:
        if order.identity != self._order:
            self._order = order.identity
            self._counter = EvidenceCounter()

    def _count(
        self,
        route: str,
        outcome: Outcome,
        began_at: float,
        instance: Instance,
    ) -> None:
        self._note_slow_start()
        is_cold = began_at < self._cold_until
        if not self._counts(outcome, is_cold):
            return
        version = instance.heartbeat.version
        has_failed = not isinstance(outcome, Ran) or outcome.has_failed
        self.has_news |= has_failed
        _rollout_metrics.count_answer(
            is_new=self._order is not None and version == self._order[1],
            has_failed=has_failed,
        )
        self._counter.record(
            version,
            route,
            has_failed=has_failed,
            service_time=None if is_cold else self._clock() - began_at,
        )

    def _note_slow_start(self) -> None:
        """Remember the end of the slow start that a heartbeat announced."""
        instance = self._instance_tracker.current
        if instance is not None and instance.heartbeat.slow_start_left > 0:
            left = instance.heartbeat.slow_start_left
            self._cold_until = instance.last_seen_at + left

    def _counts(self, outcome: Outcome, is_cold: bool) -> bool:
        """Return whether an outcome says something about the version."""
        if not isinstance(outcome, Lost):
            return isinstance(outcome, Ran)
        if not outcome.is_broken:
            # A target that has just started may take longer than a deadline.
            return not is_cold
        now = self._clock()
        is_single = now - self._broke_at >= _MIN_BREAK_INTERVAL_S
        if is_single:
            self._broke_at = now
        return is_single
