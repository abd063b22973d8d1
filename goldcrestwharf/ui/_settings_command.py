"""Check and show settings files, and document the settings."""

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
from goldcrestwharf.ui._output import (
    ExitCode,
    exit_with,
    print_errors,
    print_line,
)

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
            'Print all settings that result from a file, secrets hidden.',
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

    Exits with 0 if they can be used and with 1 if they are refused.
    """
    if check:
        _load(check)
        print_line('ok: the settings can be used')
    elif shown:
        print_line(json.dumps(unstructure(_load(shown)), indent=2))
    elif default:
        print_line(render_default().rstrip())
    elif reference:
        print_line(render_reference(DaemonSettings))
    else:
        exit_with(
            ExitCode.USAGE,
            ['choose one of --check, --show, --default and --reference'],
        )


def _load(path: Path) -> DaemonSettings:
    raw = read_file(path, _SETTINGS).lash(_exit_with_usage_error).unwrap()
    review = review_settings(raw)
    print_errors(review.problems)
    if review.cfg is None or refusals(review.problems):
        exit_with(ExitCode.REFUSED)
    return review.cfg


def _exit_with_usage_error(problems: Problems) -> NoReturn:
    exit_with(ExitCode.USAGE, problems)
