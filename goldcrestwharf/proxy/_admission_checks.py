"""Checks of an attempt before it is queued at the local target."""

from collections.abc import Callable

import attrs

from goldcrestwharf.admission import (
    LongestTimes,
    Refusal,
    RefusalReason,
    Shutdown,
    TargetHealth,
)
from goldcrestwharf.discovery import Instance, InstanceTracker, is_drain_over
from goldcrestwharf.proxy._attempt import Attempt


@attrs.frozen(kw_only=True)
class AdmissionChecks:
    """Admission checks by the state of the target and of this daemon.

    ``drain_timeout`` is the time in seconds, after a target's leave notice
    was acknowledged, in which it may still get requests. ``find_rejected``
    returns the version of a service that was rolled back, if any, and
    ``has_room_for_answer`` whether an answer can be kept until it is sent.
    """

    instance_tracker: InstanceTracker
    health: TargetHealth
    shutdown: Shutdown
    longest_times: LongestTimes
    drain_timeout: float
    clock: Callable[[], float]
    find_rejected: Callable[[str], str | None]
    has_room_for_answer: Callable[[], bool]

    def find_refusal(
        self, attempt: Attempt, service_time: float
    ) -> Refusal | None:
        """Return a refusal if an attempt can't run.

        ``service_time`` is the expected one, in seconds.
        """
        reason = self._find_reason(attempt, service_time)
        if reason is None and not self.has_room_for_answer():
            reason = RefusalReason.OVERLOADED
        return None if reason is None else Refusal(reason=reason)

    def _find_reason(
        self,
        attempt: Attempt,
        service_time: float,
    ) -> RefusalReason | None:
        instance = self.instance_tracker.current
        if instance is None or not self._may_run(instance, attempt):
            return RefusalReason.NOT_HERE
        if self._is_drain_over(instance):
            return RefusalReason.DRAINING
        if not self._finishes_before_exit(attempt, service_time):
            return RefusalReason.LEAVING
        if self.health.allows_attempt(self.clock()):
            return None
        return RefusalReason.TARGET_DOWN

    def _finishes_before_exit(
        self, attempt: Attempt, service_time: float
    ) -> bool:
        return self.shutdown.admits(
            service_time,
            time_left=attempt.left,
            longest=self.longest_times.find(attempt.request_class),
        )

    def _may_run(self, instance: Instance, attempt: Attempt) -> bool:
        """Return whether an attempt is for a target that may run it.

        An entry may not know yet that a version was rolled back.
        """
        rejected = self.find_rejected(attempt.service)
        if rejected is not None and instance.heartbeat.version == rejected:
            return False
        return _is_for(instance, attempt)

    def _is_drain_over(self, instance: Instance) -> bool:
        if instance.draining_since is None:
            return False
        return is_drain_over(
            instance.draining_since, self.clock(), self.drain_timeout
        )


def _is_for(instance: Instance, attempt: Attempt) -> bool:
    """Return whether an attempt is for an instance and its service."""
    heartbeat = instance.heartbeat
    wanted = (attempt.service, attempt.instance_id)
    return wanted == (heartbeat.service, heartbeat.instance_id)
