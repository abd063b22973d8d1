"""Run the demo on a running mesh."""

from pathlib import Path
from typing import Annotated

import anyio
import typer

from goldcrestwharf.demo import DemoError, DemoPlan, run_demo
from goldcrestwharf.ui._admin_client import AdminToken
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._output import ExitCode, exit_with, print_line

_SETS = Path('examples')


@app.command(
    name='demo',
    epilog='Example: make demo, which starts what this command drives.',
)
def demo_command(
    local: Annotated[
        list[str],
        typer.Option(metavar='HOST:PORT', help='Local address of a daemon.'),
    ],
    caller: Annotated[
        list[str],
        typer.Option(metavar='HOST:PORT', help='Caller address of a daemon.'),
    ],
    sets: Annotated[
        Path,
        typer.Option(help='Folder with the sets to publish.'),
    ] = _SETS,
    requests: Annotated[
        int,
        typer.Option(help='Requests to send in each round.', min=1),
    ] = 200,
    token: AdminToken = '',
) -> None:
    """Publish two sets to running daemons, send requests, print a summary.

    Exits with 0 only if every request got its own answer and every daemon
    runs the last version.
    """
    plan = DemoPlan(
        local_addresses=tuple(local),
        caller_addresses=tuple(caller),
        sets=sets,
        requests=requests,
        token=token,
    )
    try:
        summary = anyio.run(run_demo, plan, print_line)
    except DemoError as exc:
        exit_with(ExitCode.UNREACHABLE, [exc])
    print_line(str(summary))
    if not summary.is_successful:
        exit_with(ExitCode.REFUSED)
