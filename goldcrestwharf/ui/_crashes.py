"""Show and lift the refusals of requests that kill targets."""

from typing import Annotated

import attrs
import typer

from goldcrestwharf.limits import CrashReport
from goldcrestwharf.ui._admin_client import (
    AdminToken,
    DaemonAddress,
    ask,
    ask_document,
)
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._output import show, show_json
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
        ask(daemon, f'/v1/crashes/{lift}', token, method='DELETE')
        show(f'lifted {lift}')
        return
    refused = ask_document(
        daemon,
        '/v1/crashes',
        token,
        tuple[CrashReport, ...],
    )
    if as_json:
        show_json([attrs.asdict(verdict) for verdict in refused])
        return
    for verdict in refused:
        show(_write(verdict))
    if not refused:
        show('no request is refused for killing targets')


def _write(verdict: CrashReport) -> str:
    seconds = verdict.refused_ms // _MS_PER_S
    deaths = len(verdict.deaths)
    return (
        f'{verdict.fingerprint} was in flight in {deaths} deaths and is '
        f'refused for {seconds} s more'
    )
