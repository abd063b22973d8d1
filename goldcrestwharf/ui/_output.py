"""Print what commands answer and end them with their exit code.

Results go to standard output, as text or as one JSON line; problems go to
standard error, one a line, so that scripts can tell them apart.
"""

import enum
import json
from collections.abc import Iterable
from typing import NoReturn

import typer


class ExitCode(enum.IntEnum):
    """Tell a script how a command ended.

    ``UNREACHABLE`` also stands for an outcome that is not known.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3


def show(text: str) -> None:
    """Print ``text`` to standard output."""
    typer.echo(text)


def show_json(document: object) -> None:
    """Print ``document`` as one line of JSON to standard output."""
    typer.echo(json.dumps(document, sort_keys=True))


def complain(lines: Iterable[object]) -> None:
    """Print each of ``lines`` to standard error."""
    for line in lines:
        typer.echo(str(line), err=True)


def end(code: ExitCode, lines: Iterable[object] = ()) -> NoReturn:
    """Print ``lines`` to standard error and end the command with ``code``."""
    complain(lines)
    raise typer.Exit(code=int(code))
