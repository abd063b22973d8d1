"""Check, show and explain the settings of a daemon."""

import json
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from goldcrestwharf.documents import (
    Place,
    Problems,
    read_file,
    refusals,
    render_reference,
    unstructure,
)
from goldcrestwharf.settings import (
    DaemonSettings,
    render_default,
    review_settings,
)
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._arguments import file_option
from goldcrestwharf.ui._output import ExitCode, complain, end, show

_SETTINGS = Place(kind='settings')


@app.command(
    name='settings',
    epilog='Example: goldcrestwharf settings --check daemon.jsonc',
)
def settings_command(
    *,
    check: Annotated[
        Path | None,
        file_option(
            '--check',
            'Check a file and report all of its problems at once.',
        ),
    ] = None,
    shown: Annotated[
        Path | None,
        file_option(
            '--show',
            'Print all settings that a file leads to, secrets hidden.',
        ),
    ] = None,
    default: Annotated[
        bool,
        typer.Option('--default', help='Print the commented default file.'),
    ] = False,
    reference: Annotated[
        bool,
        typer.Option('--reference', help='Print a table of all settings.'),
    ] = False,
) -> None:
    """Check, show or explain the settings of a daemon.

    Ends with 0 if they can be used and with 1 if they are refused.
    """
    if check:
        _load(check)
        show('ok: the settings can be used')
    elif shown:
        show(json.dumps(unstructure(_load(shown)), indent=2))
    elif default:
        show(render_default().rstrip())
    elif reference:
        show(render_reference(DaemonSettings))
    else:
        end(
            ExitCode.USAGE,
            ['choose one of --check, --show, --default and --reference'],
        )


def _load(path: Path) -> DaemonSettings:
    raw = read_file(path, _SETTINGS).lash(_refuse_use).unwrap()
    review = review_settings(raw)
    complain(review.problems)
    if review.cfg is None or refusals(review.problems):
        end(ExitCode.REFUSED)
    return review.cfg


def _refuse_use(problems: Problems) -> NoReturn:
    end(ExitCode.USAGE, problems)
