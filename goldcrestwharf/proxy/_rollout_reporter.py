"""Reports on the local target to the controller of its service."""

from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._rollout_messages import RolloutEvidence
from goldcrestwharf.rollouts import Phase, RolloutState

#: Interval of the reports on the new version, in seconds, and of those on the
#: old ones, which are more and of which each says less.
_REPORT_INTERVAL_S = 0.5
_OLD_REPORT_INTERVAL_S = 1.0

#: The same while requests move: the old targets may stop once they are idle.
_MOVING_REPORT_INTERVAL_S = 0.2

#: The same after a failure, below two steps. Old targets report failures as
#: early as new ones, so that a common cause shows in both at the same time.
_FAILURE_REPORT_INTERVAL_S = 0.19


class RolloutReporter:
    """Sender of the totals of the local target."""

    def __init__(
        self, *, core: Core, fleet: Fleet, local_target: LocalTarget
    ) -> None:
        """Report on ``local_target`` over the links of ``fleet``."""
        self._core = core
        self._fleet = fleet
        self._local_target = local_target
        self._reported_at = core.clock()

    def report(self, state: RolloutState, leader: str) -> None:
        """Send a report if it is due; at once after a failure.

        It goes to the ``leader`` that this daemon elects, and to the daemon
        that last claimed to control the order if that is another one.
        """
        rollouts = self._core.rollouts
        now = self._core.clock()
        if now - self._reported_at < self._find_interval(state):
            return
        self._reported_at = now
        evidence = rollouts.recorder.make_evidence(
            state.order, self._local_target.in_flight
        )
        self._send(leader, evidence)
        sender = rollouts.senders.get(state.order.service, leader)
        if sender != leader:
            self._send(sender, evidence)

    def _send(self, name: str, evidence: RolloutEvidence) -> None:
        link = self._fleet.links.get(name)
        if name == self._core.cfg.name:
            self._core.rollouts.receive_evidence(evidence)
        elif link is not None and link.target.supports(PeerFeature.ROLLOUTS):
            link.send(evidence)

    def _find_interval(self, state: RolloutState) -> float:
        if self._core.rollouts.recorder.has_news:
            return _FAILURE_REPORT_INTERVAL_S
        if state.phase is Phase.MOVING:
            return _MOVING_REPORT_INTERVAL_S
        instance = self._core.instance_tracker.current
        if instance and instance.heartbeat.version == state.order.version:
            return _REPORT_INTERVAL_S
        return _OLD_REPORT_INTERVAL_S
