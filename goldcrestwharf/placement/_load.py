"""Estimate the load of a target from its own reports."""

import attrs

#: Hold time assumed for a target that has not reported one, in seconds.
_UNKNOWN_HOLD_S = 0.05


@attrs.frozen(kw_only=True)
class LoadReport:
    """Hold what the daemon beside a target reports of it.

    ``busy`` counts requests in slots and in the queue. ``hold`` is the mean
    time that a request holds a slot, in seconds, zero if none has yet, and
    ``failure_share`` the recent share of requests that failed, 0 to 1.
    """

    busy: int = 0
    slots: int = 1
    hold: float = 0
    failure_share: float = 0


class LoadView:
    """Join the last report with what was sent since.

    ``outstanding`` counts the own requests that are not yet answered.
    """

    def __init__(self) -> None:
        """Know of no load."""
        self.report = LoadReport()
        self.outstanding = 0
        self._others = 0

    @property
    def busy(self) -> int:
        """Return the estimated requests in slots and in the queue."""
        return self._others + self.outstanding

    @property
    def hold(self) -> float:
        """Return the mean time that a request holds a slot, in seconds."""
        return self.report.hold or _UNKNOWN_HOLD_S

    @property
    def wait(self) -> float:
        """Return the expected wait of one request more, in seconds."""
        slots = max(self.report.slots, 1)
        ahead = self.busy + 1 - slots
        return max(ahead, 0) * self.hold / slots

    def note(self, report: LoadReport) -> None:
        """Take in a report; own requests that are in it count once."""
        self.report = report
        self._others = max(report.busy - self.outstanding, 0)
