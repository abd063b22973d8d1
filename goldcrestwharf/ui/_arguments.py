"""Arguments that several commands share."""

from pathlib import Path
from typing import Annotated, Any

import typer

#: An existing file.
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

#: An existing file, or a folder whose ``.jsonc`` and ``.json`` files are used.
DocumentsPath = Annotated[
    Path,
    typer.Argument(
        metavar='FILE',
        exists=True,
        readable=True,
        help='File of JSON with comments, or a folder of such files.',
    ),
]

#: Whether to print JSON.
JsonFlag = Annotated[
    bool,
    typer.Option('--json', help='Print the answer as one line of JSON.'),
]


def file_option(flag: str, summary: str) -> Any:
    """Return an option that takes an existing file."""
    return typer.Option(
        flag,
        metavar='FILE',
        exists=True,
        dir_okay=False,
        readable=True,
        help=summary,
    )
