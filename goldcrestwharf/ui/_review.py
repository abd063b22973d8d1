"""Review a configuration in the platform's format before it is sent."""

from pathlib import Path
from typing import Annotated

import typer

from goldcrestwharf.documents import Problems, refusals
from goldcrestwharf.errors import InvalidConfigurationError
from goldcrestwharf.platform.configuration import parse_configuration
from goldcrestwharf.policy import PolicySnapshot
from goldcrestwharf.review import (
    ReviewContext,
    list_changes,
    review_configuration,
)
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._arguments import DocumentPath, JsonFlag, file_option
from goldcrestwharf.ui._output import (
    ExitCode,
    exit_with,
    print_errors,
    print_json,
    print_line,
)
from goldcrestwharf.ui._problems import describe_problems


@app.command(
    name='review',
    epilog='Example: goldcrestwharf review new.json --against running.json',
)
def review_command(
    path: DocumentPath,
    against: Annotated[
        Path | None,
        file_option('--against', 'Configuration in force, to compare with.'),
    ] = None,
    targets: Annotated[
        list[str] | None,
        typer.Option(
            metavar='SERVICE=NUMBER',
            help='Targets of a service, to check attempts against.',
        ),
    ] = None,
    as_json: JsonFlag = False,
) -> None:
    """Review a configuration in the platform's format.

    Reports errors, entries that never take effect, limits that contradict
    each other, and the differences from the one in force. Exits with 1 if
    the configuration would be refused.
    """
    snapshot = _read(path)
    problems = review_configuration(
        ReviewContext(
            snapshot=snapshot, target_counts=_parse_counts(targets or [])
        ),
    )
    changes = [] if against is None else list_changes(_read(against), snapshot)
    _report(problems, changes, as_json=as_json)


def _read(path: Path) -> PolicySnapshot:
    try:
        return parse_configuration(path.read_bytes())
    except InvalidConfigurationError as exc:
        exit_with(ExitCode.REFUSED, [exc])


def _parse_counts(written: list[str]) -> dict[str, int]:
    counts = {}
    for each in written:
        service, _, number = each.rpartition('=')
        if not (service and number.isdigit()):
            exit_with(
                ExitCode.USAGE,
                [f'--targets {each}: write SERVICE=NUMBER'],
            )
        counts[service] = int(number)
    return counts


def _report(problems: Problems, changes: list[str], *, as_json: bool) -> None:
    print_errors(problems)
    if as_json:
        print_json(
            {
                'ok': not refusals(problems),
                'problems': describe_problems(problems),
                'changes': changes,
            },
        )
    else:
        for change in changes:
            print_line(change)
    if refusals(problems):
        exit_with(ExitCode.REFUSED)
