"""Explain what became of a request, from the logs of several daemons."""

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
from goldcrestwharf.ui._output import ExitCode, end, show, show_json


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
    """Show the lines of a request in order, and what ended it."""
    timeline = find_timeline(request_id, _open_all(files))
    if not timeline:
        end(
            ExitCode.REFUSED,
            [
                f'no line names request {request_id}; give the logs of all '
                'daemons, from the time of the request',
            ],
        )
    if as_json:
        show_json([attrs.asdict(entry) for entry in timeline])
        return
    for entry in timeline:
        show(str(entry))
    show(_conclude(find_final_event(timeline)))


def _open_all(files: list[Path]) -> Iterator[DaemonLog]:
    for path in files:
        written = path.read_text(encoding='utf-8', errors='replace')
        yield DaemonLog(name=path.stem, lines=written.splitlines())


def _conclude(ending: TimelineEntry | None) -> str:
    if ending is None:
        return (
            'the end of the request is in none of the logs; '
            'add the log of the daemon that the caller asked'
        )
    cause = ending.fields.get('cause')
    behind = f': {cause}' if cause else ''
    return f'ended at {ending.source} by {ending.event}{behind}'
