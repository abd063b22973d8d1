"""Evidence that the controller of a roll-out has received."""

from collections import deque
from collections.abc import Iterable, Mapping

import attrs

from goldcrestwharf.rollouts._evidence import (
    Evidence,
    add_up,
    count_answers,
    count_failures,
    subtract,
)

#: Interval of the totals that are kept, and the time for which they are, in
#: seconds. A fault that begins late shows in the recent part of the totals
#: before it shows in the whole.
_KEEP_INTERVAL_S = 0.5
_RECENT_S = 2.0


@attrs.frozen(kw_only=True)
class TargetReport:
    """Totals of the target beside a daemon since the order.

    ``in_flight`` counts its requests in slots and in the queue. ``zone`` is
    the availability zone.
    """

    daemon: str
    in_flight: int
    by_version: Mapping[str, Evidence]
    zone: str = ''

    @property
    def answers(self) -> int:
        """Return the number of answers of all versions."""
        return sum(map(count_answers, self.by_version.values()))


@attrs.frozen(kw_only=True)
class Comparison:
    """Evidence of the new version and of the old ones."""

    new: Evidence
    old: Evidence

    def count(self) -> dict[str, int]:
        """Return the answers and failures of both versions, for logs."""
        return {
            'new_answers': count_answers(self.new),
            'new_failures': count_failures(self.new),
            'old_answers': count_answers(self.old),
            'old_failures': count_failures(self.old),
        }


@attrs.frozen(kw_only=True)
class _Received:
    report: TargetReport
    at: float


class EvidenceBook:
    """Latest report of each daemon, and the recent totals.

    A daemon that is gone counts with its last report. ``targets`` is the
    number of targets of the new version.
    """

    def __init__(self, *, version: str) -> None:
        """Compare ``version`` with all others."""
        self.targets = 0
        self._version = version
        self._received: dict[str, _Received] = {}
        self._kept: deque[tuple[float, Comparison]] = deque()

    def receive(self, report: TargetReport, now: float) -> None:
        """Replace the report of a daemon.

        One that has restarted begins anew; what it reported before is kept.
        """
        known = self._received.get(report.daemon)
        if known is not None and report.answers < known.report.answers:
            self._received[f'{report.daemon} until {now}'] = known
        self._received[report.daemon] = _Received(report=report, at=now)

    def clear(self) -> None:
        """Forget all reports; the daemons send totals again."""
        self._received.clear()
        self._kept.clear()

    def compare(self) -> Comparison:
        """Return the totals since the order."""
        return Comparison(
            new=add_up(self.list_new().values()),
            old=add_up(self._list_old()),
        )

    def compare_zones(self) -> Comparison:
        """Return the totals of the zones where the new version fails."""
        zones = {
            self._received[daemon].report.zone
            for daemon, evidence in self.list_new().items()
            if count_failures(evidence)
        }
        part = EvidenceBook(version=self._version)
        for received in self._received.values():
            if received.report.zone in zones:
                part.receive(received.report, received.at)
        return part.compare()

    def compare_recent(self, total: Comparison, now: float) -> Comparison:
        """Return the part of ``total`` of the last seconds.

        The old version counts as a whole while it had no recent answers, as
        when all requests go to the new one.
        """
        earlier = self._keep(total, now)
        old = subtract(total.old, earlier.old)
        has_old = any(counts.answers for counts in old.values())
        return Comparison(
            new=subtract(total.new, earlier.new),
            old=old if has_old else total.old,
        )

    def list_new(self) -> dict[str, Evidence]:
        """Return the evidence of the new version by daemon."""
        return {
            daemon: received.report.by_version[self._version]
            for daemon, received in self._received.items()
            if self._version in received.report.by_version
        }

    def are_idle(self, daemons: Iterable[str], since: float) -> bool:
        """Return whether the targets had no requests since a time."""
        return all(
            _is_idle(self._received.get(daemon), since) for daemon in daemons
        )

    def _keep(self, total: Comparison, now: float) -> Comparison:
        """Keep totals from time to time; return those of seconds before."""
        kept = self._kept
        recent = [one for one in kept if now - one[0] < _RECENT_S]
        while len(kept) > len(recent) + 1:
            kept.popleft()
        if not recent or now - recent[-1][0] >= _KEEP_INTERVAL_S:
            kept.append((now, total))
        return kept[0][1]

    def _list_old(self) -> Iterable[Evidence]:
        for received in self._received.values():
            for version, evidence in received.report.by_version.items():
                if version != self._version:
                    yield evidence


def _is_idle(received: _Received | None, since: float) -> bool:
    if received is None or received.at < since:
        return False
    return not received.report.in_flight
