"""Wait until a version is active on every daemon."""

from collections.abc import Iterator

import anyio

from goldcrestwharf.admin import FleetReport
from goldcrestwharf.timers import SystemTimers
from goldcrestwharf.ui._admin_client import fetch_document
from goldcrestwharf.ui._output import ExitCode, exit_with, print_line
from goldcrestwharf.ui._publish_options import PublishOptions

_POLL_INTERVAL_S = 0.5


def wait_for_rollout(options: PublishOptions, version: str) -> None:
    """Wait until all daemons run ``version``, for ``options.wait_s`` at most.

    On timeout, exits the command with a line for each daemon that does not.
    """
    timers = SystemTimers()
    deadline = timers.now() + options.wait_s
    report = _fetch_report(options, version)
    while not _is_complete(report) and timers.now() < deadline:
        anyio.run(timers.sleep, _POLL_INTERVAL_S)
        report = _fetch_report(options, version)
    if not _is_complete(report):
        exit_with(ExitCode.UNREACHABLE, _list_behind(report))
    if not options.as_json:
        print_line(f'in force on {report.on_version} daemons')


def _fetch_report(options: PublishOptions, version: str) -> FleetReport:
    path = f'/v1/fleet?version={version}'
    return fetch_document(options.daemon, path, options.token, FleetReport)


def _is_complete(report: FleetReport) -> bool:
    return not report.behind and not report.unreachable


def _list_behind(report: FleetReport) -> Iterator[str]:
    for daemon in report.behind:
        reasons = ', '.join(daemon.trouble) or 'no reason known'
        version = daemon.version or 'nothing'
        yield f'{daemon.vm} runs {version}: {reasons}'
    for vm in report.unreachable:
        yield f'{vm} gave no report; look at its daemon'
