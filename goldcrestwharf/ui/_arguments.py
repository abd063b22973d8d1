"""Define the arguments that several commands take."""

from pathlib import Path
from typing import Annotated, Any

import typer

#: A file that has to exist.
DocumentPath = Annotated[
    Path,
    typer.Argument(
        metavar='FILE',
        exists=True,
        dir_okay=False,
        readable=True,
        help='File of JSON with comments.',
    ),
]

#: A file, or a folder whose ``.jsonc`` and ``.json`` files are meant.
DocumentsPath = Annotated[
    Path,
    typer.Argument(
        metavar='FILE',
        exists=True,
        readable=True,
        help='File of JSON with comments, or a folder of such files.',
    ),
]

#: Whether a program reads the answer.
JsonFlag = Annotated[
    bool,
    typer.Option('--json', help='Print the answer as one line of JSON.'),
]


def file_option(flag: str, summary: str) -> Any:
    """Return an option that takes a file which has to exist."""
    return typer.Option(
        flag,
        metavar='FILE',
        exists=True,
        dir_okay=False,
        readable=True,
        help=summary,
    )
