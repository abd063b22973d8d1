"""The documents that the administration API returns as JSON."""

import attrs

from goldcrestwharf.membership import VersionCount, ZoneSummary
from goldcrestwharf.wire import message


@attrs.frozen(kw_only=True)
class TargetReport:
    """A target of the local VM."""

    name: str
    group: str
    address: str
    slots: int
    state: str


@message('admin.report')
@attrs.frozen(kw_only=True)
class DaemonReport:
    """The version that a daemon runs, and why it runs no newer one.

    ``trouble`` has a line for each condition that needs an operator's
    attention, with its remedy; it is empty for a healthy daemon.
    """

    vm: str
    zone: str
    release: str
    version: str
    digest: str
    floor: str
    is_reader: bool
    parent: str
    depth: int
    trouble: tuple[str, ...] = ()


@message('admin.ask_report')
@attrs.frozen(kw_only=True)
class ReportRequest:
    """A request for a daemon's :class:`DaemonReport`."""


@attrs.frozen(kw_only=True)
class StatusDocument:
    """The version that a daemon runs and its view of the mesh."""

    daemon: DaemonReport
    is_cut_off: bool
    zones: tuple[ZoneSummary, ...]
    versions: tuple[VersionCount, ...]
    targets: tuple[TargetReport, ...]
    requests_in_flight: int
    crashing_requests: int
    control_bytes_sent: int
    control_bytes_received: int


@attrs.frozen(kw_only=True)
class FleetReport:
    """The daemons that don't run ``version``, and why.

    ``members`` is the number of known daemons and ``asked`` the number of
    those that were asked for a report. ``behind`` has the reports of daemons
    on another version and ``unreachable`` the VMs that returned no report.
    """

    version: str
    members: int
    on_version: int
    asked: int
    behind: tuple[DaemonReport, ...]
    unreachable: tuple[str, ...]
