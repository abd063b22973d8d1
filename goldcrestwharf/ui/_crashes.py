"""Show the requests in quarantine, or release one."""

from typing import Annotated

import attrs
import typer

from goldcrestwharf.quarantine import CrashReport
from goldcrestwharf.ui._admin_client import (
    AdminToken,
    DaemonAddress,
    fetch_document,
    send_request,
)
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._output import print_json, print_line
from goldcrestwharf.ui._status import DEFAULT_DAEMON

_MS_PER_S = 1000


@app.command(
    name='crashes',
    epilog='Example: goldcrestwharf crashes --lift 3f9a0c1d2e4b5a69',
)
def crashes_command(
    daemon: DaemonAddress = DEFAULT_DAEMON,
    token: AdminToken = '',
    *,
    lift: Annotated[
        str,
        typer.Option(
            metavar='FINGERPRINT',
            help='Let this request run again, everywhere.',
        ),
    ] = '',
    as_json: Annotated[
        bool,
        typer.Option('--json', help='Print one line of JSON.'),
    ] = False,
) -> None:
    """Show the requests that are refused because they kill targets."""
    if lift:
        send_request(daemon, f'/v1/crashes/{lift}', token, method='DELETE')
        print_line(f'lifted {lift}')
        return
    reports = fetch_document(
        daemon,
        '/v1/crashes',
        token,
        tuple[CrashReport, ...],
    )
    if as_json:
        print_json([attrs.asdict(report) for report in reports])
        return
    for report in reports:
        print_line(_format_report(report))
    if not reports:
        print_line('no request is refused for killing targets')


def _format_report(report: CrashReport) -> str:
    seconds = report.refused_ms // _MS_PER_S
    deaths = len(report.deaths)
    return (
        f'{report.fingerprint} was in flight in {deaths} deaths and is '
        f'refused for {seconds} s more'
    )
