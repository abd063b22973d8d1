"""Know which other zones can be reached from the own one."""

import attrs

from goldcrestwharf.wire import message


@message('membership.zone_reach')
@attrs.frozen(kw_only=True)
class ZoneReach:
    """Report whether ``zone`` can be reached from the zone ``viewer``.

    A report with a higher ``order`` replaces the earlier one. ``reporter``
    is the VM of the daemon that compares with that zone.
    """

    viewer: str
    zone: str
    order: int
    reporter: str
    is_reachable: bool


class ZoneContacts:
    """Keep the latest report on each other zone."""

    def __init__(self, *, own_zone: str) -> None:
        """Keep what daemons of ``own_zone`` report."""
        self._own_zone = own_zone
        self._reports: dict[str, ZoneReach] = {}
        self._heard_at: dict[str, float] = {}

    def absorb(self, report: ZoneReach) -> bool:
        """Keep ``report`` if it is the latest one; tell whether it was."""
        if report.viewer != self._own_zone:
            return False
        known = self._reports.get(report.zone)
        if known is not None and _order(report) <= _order(known):
            return False
        self._reports[report.zone] = report
        return True

    def note_contact(self, zone: str, vm: str, now: float) -> ZoneReach | None:
        """Record that ``vm`` reached ``zone``; return a report if it is news.

        ``now`` is in seconds.
        """
        self._heard_at[zone] = now
        known = self._reports.get(zone)
        if known is None or known.is_reachable:
            return None
        return self._make_report(zone, vm, is_reachable=True)

    def note_failure(
        self,
        zone: str,
        vm: str,
        *,
        now: float,
        bound: float,
    ) -> ZoneReach | None:
        """Record a failed attempt; return a report if the zone is lost.

        It is lost once the last contact is older than ``bound`` seconds.
        """
        heard_at = self._heard_at.setdefault(zone, now)
        if now - heard_at < bound or zone in self.stale():
            return None
        return self._make_report(zone, vm, is_reachable=False)

    def stale(self) -> frozenset[str]:
        """Return the zones that can't be reached."""
        lost = (one for one in self._reports.values() if not one.is_reachable)
        return frozenset(one.zone for one in lost)

    def reports(self) -> tuple[ZoneReach, ...]:
        """Return the latest report on each zone that was ever lost."""
        return tuple(self._reports.values())

    def _make_report(
        self,
        zone: str,
        vm: str,
        *,
        is_reachable: bool,
    ) -> ZoneReach:
        known = self._reports.get(zone)
        report = ZoneReach(
            viewer=self._own_zone,
            zone=zone,
            order=1 if known is None else known.order + 1,
            reporter=vm,
            is_reachable=is_reachable,
        )
        self._reports[zone] = report
        return report


def _order(report: ZoneReach) -> tuple[int, bool, str]:
    return report.order, report.is_reachable, report.reporter
