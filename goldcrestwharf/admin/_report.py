"""Build the report and the status of the daemon."""

from collections.abc import Iterator

from goldcrestwharf import __version__
from goldcrestwharf.admin._context import AdminContext
from goldcrestwharf.admin._documents import (
    DaemonReport,
    StatusDocument,
    TargetReport,
)
from goldcrestwharf.distribution import DistributionStatus
from goldcrestwharf.quarantine import CrashGuard, CrashReport
from goldcrestwharf.replay import FollowerStatus, ReplicaState
from goldcrestwharf.wire import TRAFFIC


def report_daemon(context: AdminContext) -> DaemonReport:
    """Return the version that the daemon runs, and why no newer one."""
    status = context.distribution.status()
    snapshot = context.holder.snapshot
    floor = context.holder.floor
    return DaemonReport(
        vm=context.cfg.vm,
        zone=context.cfg.zone,
        release=__version__,
        version='' if snapshot is None else str(snapshot.version),
        digest='' if snapshot is None else snapshot.digest,
        floor='' if floor is None else str(floor),
        is_reader=status.is_reader,
        parent=status.parent,
        depth=status.depth,
        trouble=tuple(_find_trouble(context, status)),
    )


def report_status(context: AdminContext) -> StatusDocument:
    """Return the status of the daemon, with its view of the mesh."""
    fleet = context.view.fleet()
    return StatusDocument(
        daemon=report_daemon(context),
        is_cut_off=fleet.is_cut_off,
        zones=fleet.zones,
        versions=fleet.versions,
        targets=tuple(_list_targets(context)),
        requests_in_flight=context.frontend.in_flight.total,
        crashing_requests=len(list_quarantined(context.guard)),
        control_bytes_sent=TRAFFIC.control_sent(),
        control_bytes_received=TRAFFIC.control_received(),
    )


def list_quarantined(guard: CrashGuard) -> tuple[CrashReport, ...]:
    """Return the crash reports of the requests in quarantine."""
    reports = guard.table.reports()
    return tuple(report for report in reports if report.refused_ms > 0)


def _list_targets(context: AdminContext) -> Iterator[TargetReport]:
    for target in context.view.local_member().targets:
        yield TargetReport(
            name=target.name,
            group=target.group,
            address=target.address,
            slots=target.slots,
            state=target.state,
        )


def _find_trouble(
    context: AdminContext,
    status: DistributionStatus,
) -> Iterator[str]:
    if context.holder.snapshot is None:
        yield (
            'no configuration yet: calls are refused as not run; publish '
            'one, or check that the platform or another daemon is reachable'
        )
    if status.last_error:
        yield f'refused {status.last_error}; the last valid one stays active'
    if status.is_reader:
        yield from _find_log_trouble(context.follower.status())
    for zone in sorted(context.view.stale_zones()):
        yield (
            f'zone {zone} can not be reached; its targets are kept as of '
            'the last contact: check the network between the zones'
        )


def _find_log_trouble(follower: FollowerStatus) -> Iterator[str]:
    if follower.last_error:
        yield (
            f'the platform log does not answer: {follower.last_error}; what '
            'is in force runs on, and nothing can be published until it is '
            'back'
        )
    match follower.replica.state:
        case ReplicaState.HALTED:
            halt_reason = follower.replica.halt_reason
            yield f'the log is not followed further: {halt_reason}'
        case ReplicaState.LOG_REPLACED:
            yield (
                'the platform log is not the one that the version in force '
                'came from; that version stays active: start an epoch with '
                'publish --new-epoch'
            )
        case ReplicaState.NEEDS_PEERS:
            yield (
                'the platform log keeps no checkpoint to start from, and no '
                'other daemon has a configuration: start an epoch with '
                'publish --new-epoch'
            )
