"""Output and exit codes of the commands.

Results go to standard output, as text or as one line of JSON. Problems go to
standard error, one per line, so that scripts can separate them.
"""

import enum
import json
from collections.abc import Iterable
from typing import NoReturn

import typer


class ExitCode(enum.IntEnum):
    """Exit codes of the commands.

    ``UNREACHABLE`` is also used if the outcome is unknown.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3


def print_line(text: str) -> None:
    """Print ``text`` to standard output."""
    typer.echo(text)


def print_json(document: object) -> None:
    """Print ``document`` as one line of JSON to standard output."""
    typer.echo(json.dumps(document, sort_keys=True))


def print_errors(lines: Iterable[object]) -> None:
    """Print each of ``lines`` to standard error."""
    for line in lines:
        typer.echo(str(line), err=True)


def exit_with(code: ExitCode, lines: Iterable[object] = ()) -> NoReturn:
    """Print ``lines`` to standard error and exit the command with ``code``."""
    print_errors(lines)
    raise typer.Exit(code=int(code))
