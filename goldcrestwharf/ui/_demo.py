"""Run the demo on a running mesh."""

from pathlib import Path
from typing import Annotated

import anyio
import typer

from goldcrestwharf.demo import DemoError, DemoPlan, run_demo
from goldcrestwharf.ui._admin_client import AdminToken
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._output import ExitCode, exit_with, print_line

_SETS_FOLDER = Path('examples')


@app.command(
    name='demo',
    epilog='Run "make demo" to start daemons and targets and this command.',
)
def demo_command(
    local: Annotated[
        list[str],
        typer.Option(
            metavar='HOST:PORT',
            help="Address of a daemon's administration API; repeatable.",
        ),
    ],
    caller: Annotated[
        list[str],
        typer.Option(
            metavar='HOST:PORT',
            help='Address where a daemon accepts requests; repeatable.',
        ),
    ],
    sets: Annotated[
        Path,
        typer.Option(help='Folder with the sets to publish.'),
    ] = _SETS_FOLDER,
    requests: Annotated[
        int,
        typer.Option(help='Requests to send in each round.', min=1),
    ] = 200,
    token: AdminToken = '',
) -> None:
    """Publish sets to running daemons, send requests, print a summary.

    Two sets are valid; the third is refused and its problems are printed.

    Exits with 0 if every request got its own answer and every daemon runs the
    last valid version, with 1 if not, and with 3 if a daemon doesn't answer,
    a set isn't published or the daemons don't run it in time.
    """
    plan = DemoPlan(
        local_addresses=tuple(local),
        caller_addresses=tuple(caller),
        sets_folder=sets,
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
