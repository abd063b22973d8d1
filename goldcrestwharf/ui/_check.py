"""Check a set of objects before it is published."""

from pathlib import Path
from typing import Annotated, NoReturn

import typer

from goldcrestwharf.documents import Problems, read_file, refusals
from goldcrestwharf.objects import (
    KINDS,
    Kind,
    ObjectSet,
    Place,
    check_change,
    digest_of,
    parse_objects,
    review_objects,
)
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._arguments import DocumentsPath, JsonFlag, file_option
from goldcrestwharf.ui._check_folder import check_folder
from goldcrestwharf.ui._output import (
    ExitCode,
    exit_with,
    print_errors,
    print_json,
    print_line,
)
from goldcrestwharf.ui._problems import describe_problems

_SET = Place(kind='set')


@app.command(
    name='check',
    epilog='Example: goldcrestwharf check new.jsonc --against running.jsonc',
)
def check_command(
    path: DocumentsPath,
    against: Annotated[
        Path | None,
        file_option(
            '--against',
            'Active set, to check the change from it as well.',
        ),
    ] = None,
    team: Annotated[
        str,
        typer.Option(help='Team that makes the change, with --against.'),
    ] = '',
    allow_large_removal: Annotated[
        bool,
        typer.Option(
            '--allow-large-removal',
            help='Accept an empty set, or one that lacks most objects.',
        ),
    ] = False,
    as_json: JsonFlag = False,
) -> None:
    """Check a set of objects and report all of its problems at once.

    Exits with 0 if the set can be published and with 1 if it is refused. Of
    a folder, each set is checked separately, without --against.
    """
    if path.is_dir():
        check_folder(path, as_json=as_json)
        return
    review = review_objects(_read(path))
    problems = review.problems
    if against is not None and review.objects is not None:
        problems += check_change(
            _read_previous(against),
            review.objects,
            allow_large_removal=allow_large_removal,
            team=team,
        )
    _report(review.objects, problems, as_json=as_json)


def _read(path: Path) -> bytes:
    return read_file(path, _SET).lash(_exit_with_usage_error).unwrap()


def _read_previous(path: Path) -> ObjectSet:
    return parse_objects(_read(path)).lash(_exit_with_usage_error).unwrap()


def _exit_with_usage_error(problems: Problems) -> NoReturn:
    exit_with(ExitCode.USAGE, problems)


def _report(
    objects: ObjectSet | None,
    problems: Problems,
    *,
    as_json: bool,
) -> None:
    is_refused = bool(refusals(problems))
    print_errors(problems)
    if as_json:
        print_json(
            {'ok': not is_refused, 'problems': describe_problems(problems)}
        )
    elif objects is not None and not is_refused:
        print_line(_summarize(objects))
    if is_refused:
        exit_with(ExitCode.REFUSED)


def _summarize(objects: ObjectSet) -> str:
    counts = [_count(objects, kind) for kind in KINDS]
    listed = ', '.join(counts)
    return f'ok: {listed}; digest {digest_of(objects)}'


def _count(objects: ObjectSet, kind: Kind) -> str:
    noun = kind.key.replace('_', ' ')
    return f'{len(kind.of(objects))} {noun}'
