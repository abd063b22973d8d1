"""Wait until every daemon runs a version."""

from collections.abc import Iterator

import anyio

from goldcrestwharf.admin import FleetReport
from goldcrestwharf.timers import SystemTimers
from goldcrestwharf.ui._admin_client import ask_document
from goldcrestwharf.ui._output import ExitCode, end, show
from goldcrestwharf.ui._publish_options import PublishOptions

_PERIOD_S = 0.5


def wait_in_force(options: PublishOptions, version: str) -> None:
    """Wait until all daemons run ``version``, up to ``options.wait_s``.

    Ends the command with a line for each daemon that does not.
    """
    timers = SystemTimers()
    until = timers.now() + options.wait_s
    report = _survey(options, version)
    while not _is_done(report) and timers.now() < until:
        anyio.run(timers.sleep, _PERIOD_S)
        report = _survey(options, version)
    if not _is_done(report):
        end(ExitCode.UNREACHABLE, _list_behind(report))
    if not options.as_json:
        show(f'in force on {report.on_version} daemons')


def _survey(options: PublishOptions, version: str) -> FleetReport:
    path = f'/v1/fleet?version={version}'
    return ask_document(options.daemon, path, options.token, FleetReport)


def _is_done(report: FleetReport) -> bool:
    return not report.behind and not report.unreachable


def _list_behind(report: FleetReport) -> Iterator[str]:
    for daemon in report.behind:
        reasons = ', '.join(daemon.trouble) or 'no reason known'
        version = daemon.version or 'nothing'
        yield f'{daemon.vm} runs {version}: {reasons}'
    for vm in report.unreachable:
        yield f'{vm} gave no report; look at its daemon'
