"""Trace a request through the logs of several daemons."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import attrs
import typer

from goldcrestwharf.loglines import (
    DaemonLog,
    TimelineEntry,
    find_final_event,
    find_timeline,
)
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._output import (
    ExitCode,
    exit_with,
    print_json,
    print_line,
)


@app.command(
    name='explain',
    epilog='Example: goldcrestwharf explain 9c41d07be2a35f68 vm-*.log',
)
def explain_command(
    request_id: Annotated[
        str,
        typer.Argument(metavar='ID', help='Id of the request.'),
    ],
    files: Annotated[
        list[Path],
        typer.Argument(
            metavar='FILE...',
            help='Logs of the daemons.',
            exists=True,
            dir_okay=False,
        ),
    ],
    *,
    as_json: Annotated[
        bool,
        typer.Option('--json', help='Print one line of JSON.'),
    ] = False,
) -> None:
    """Show the log lines of a request in order, and how it ended."""
    timeline = find_timeline(request_id, _read_logs(files))
    if not timeline:
        exit_with(
            ExitCode.REFUSED,
            [
                f'no line names request {request_id}; give the logs of all '
                'daemons, from the time of the request',
            ],
        )
    if as_json:
        print_json([attrs.asdict(entry) for entry in timeline])
        return
    for entry in timeline:
        print_line(str(entry))
    print_line(_describe_ending(find_final_event(timeline)))


def _read_logs(files: list[Path]) -> Iterator[DaemonLog]:
    for path in files:
        written = path.read_text(encoding='utf-8', errors='replace')
        yield DaemonLog(name=path.stem, lines=written.splitlines())


def _describe_ending(ending: TimelineEntry | None) -> str:
    if ending is None:
        return (
            'none of the logs has the end of the request; '
            'add the log of the daemon that received it from the caller'
        )
    cause = ending.fields.get('cause')
    suffix = f': {cause}' if cause else ''
    return f'ended at {ending.source} by {ending.event}{suffix}'
