"""Define what the administration API tells, in its JSON form."""

import attrs

from goldcrestwharf.membership import VersionCount, ZoneSummary
from goldcrestwharf.wire import message


@attrs.frozen(kw_only=True)
class TargetReport:
    """Describe a target on the daemon's own VM."""

    name: str
    group: str
    address: str
    slots: int
    state: str


@message('admin.report')
@attrs.frozen(kw_only=True)
class DaemonReport:
    """Tell what one daemon runs and why it runs nothing newer.

    ``trouble`` holds a line for each thing that an operator should look at,
    with its remedy; it is empty for a healthy daemon.
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
class AskReport:
    """Ask a daemon for its :class:`DaemonReport`."""


@attrs.frozen(kw_only=True)
class StatusDocument:
    """Tell what a daemon runs and what it knows of the mesh."""

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
    """Name the daemons that don't run a version, and why.

    ``unreachable`` holds the VMs that gave no report; ``asked`` counts all
    that were asked and ``members`` all that are known.
    """

    version: str
    members: int
    on_version: int
    asked: int
    behind: tuple[DaemonReport, ...]
    unreachable: tuple[str, ...]
