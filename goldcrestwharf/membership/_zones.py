"""Track which other zones can be reached from the local one."""

import attrs

from goldcrestwharf.wire import message


@message('membership.zone_reach')
@attrs.frozen(kw_only=True)
class ZoneReach:
    """Report on whether ``zone`` can be reached from the zone ``viewer``.

    A report with a higher ``order`` replaces the earlier one. ``reporter``
    is the VM of the daemon that compares with that zone.
    """

    viewer: str
    zone: str
    order: int
    reporter: str
    is_reachable: bool


class ZoneReachability:
    """Latest report on each other zone."""

    def __init__(self, *, local_zone: str) -> None:
        """Store the reports of daemons of ``local_zone``."""
        self._local_zone = local_zone
        self._reports: dict[str, ZoneReach] = {}
        self._last_contact_at: dict[str, float] = {}

    def apply(self, report: ZoneReach) -> bool:
        """Store ``report`` if it is newer; return whether it was."""
        if report.viewer != self._local_zone:
            return False
        known = self._reports.get(report.zone)
        if known is not None and _order(report) <= _order(known):
            return False
        self._reports[report.zone] = report
        return True

    def record_contact(
        self, zone: str, vm: str, now: float
    ) -> ZoneReach | None:
        """Record that ``vm`` reached ``zone``; return a report on a change.

        ``now`` is in seconds.
        """
        self._last_contact_at[zone] = now
        known = self._reports.get(zone)
        if known is None or known.is_reachable:
            return None
        return self._make_report(zone, vm, is_reachable=True)

    def record_failure(
        self,
        zone: str,
        vm: str,
        *,
        now: float,
        timeout: float,
    ) -> ZoneReach | None:
        """Record a failed attempt; return a report on a change.

        The zone becomes unreachable once the last contact is older than
        ``timeout`` seconds.
        """
        last_contact_at = self._last_contact_at.setdefault(zone, now)
        if now - last_contact_at < timeout or zone in self.stale():
            return None
        return self._make_report(zone, vm, is_reachable=False)

    def stale(self) -> frozenset[str]:
        """Return the zones that can't be reached."""
        stale = (one for one in self._reports.values() if not one.is_reachable)
        return frozenset(one.zone for one in stale)

    def reports(self) -> tuple[ZoneReach, ...]:
        """Return the latest report on each zone that was ever unreachable."""
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
            viewer=self._local_zone,
            zone=zone,
            order=1 if known is None else known.order + 1,
            reporter=vm,
            is_reachable=is_reachable,
        )
        self._reports[zone] = report
        return report


def _order(report: ZoneReach) -> tuple[int, bool, str]:
    return report.order, report.is_reachable, report.reporter
