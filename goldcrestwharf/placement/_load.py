"""Estimate of a target's load between the reports of its daemon."""

import attrs

#: Mean service time assumed while no target has reported one, in seconds.
_DEFAULT_SERVICE_TIME_S = 0.05

#: Least rate assumed of a limited target, in requests per second.
_MIN_RATE_PER_S = 0.5


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of a target as reported by the daemon on its VM.

    ``busy`` counts the requests in slots and in the queue. ``service_time``
    is the mean time that a request occupies a slot, in seconds, or zero if it
    is not known yet. ``failure_share`` is the recent share of requests that
    failed, 0 to 1.
    """

    busy: int = 0
    slots: int = 1
    service_time: float = 0
    failure_share: float = 0


class LoadEstimate:
    """Last report of a target, combined with the requests sent since then.

    ``outstanding`` counts the requests of the local daemon that are not
    answered yet. ``limit`` is that of the target in requests per second.
    ``assumed_service_time`` counts until the target has reported one.
    """

    def __init__(self) -> None:
        """Start with an idle target."""
        self.report = LoadReport()
        self.outstanding = 0
        self.limit: float | None = None
        self.assumed_service_time = _DEFAULT_SERVICE_TIME_S
        self._others = 0

    @property
    def busy(self) -> int:
        """Return the estimated number of requests in slots and queue."""
        return self._others + self.outstanding

    @property
    def service_time(self) -> float:
        """Return the mean service time of a request, in seconds."""
        return self.report.service_time or self.assumed_service_time

    @property
    def expected_wait(self) -> float:
        """Return the expected queue wait of a new request, in seconds."""
        slots: float = max(self.report.slots, 1)
        if self.limit is not None:
            # As many requests run at once as the limit lets begin in the time
            # that one takes.
            rate = max(self.limit, _MIN_RATE_PER_S)
            slots = min(slots, rate * self.service_time)
        ahead = self.busy + 1 - max(slots, 1)
        return max(ahead, 0) * self.service_time / slots

    def update(self, report: LoadReport) -> None:
        """Replace the report.

        Outstanding requests of the local daemon are part of the report's
        count, so they are subtracted to count them only once.
        """
        self.report = report
        self._others = max(report.busy - self.outstanding, 0)
