"""Check all sets in a folder."""

from collections.abc import Iterator
from pathlib import Path
from typing import NoReturn

from goldcrestwharf.documents import Problems, read_file, refusals
from goldcrestwharf.objects import Place, review_objects
from goldcrestwharf.ui._output import (
    ExitCode,
    exit_with,
    print_errors,
    print_json,
    print_line,
)
from goldcrestwharf.ui._problems import describe_problems

_SET = Place(kind='set')
_SUFFIXES = frozenset(('.json', '.jsonc'))


def check_folder(folder: Path, *, as_json: bool) -> None:
    """Check each set in ``folder`` separately.

    Exits the command with 1 if any set is refused, and with 2 if the folder
    has none or one can't be read.
    """
    paths = sorted(_find_sets(folder))
    if not paths:
        exit_with(ExitCode.USAGE, [f'{folder}: no .jsonc or .json file in it'])
    accepted = [_check_file(path, as_json=as_json) for path in paths]
    if not all(accepted):
        exit_with(ExitCode.REFUSED)


def _find_sets(folder: Path) -> Iterator[Path]:
    return (path for path in folder.iterdir() if path.suffix in _SUFFIXES)


def _check_file(path: Path, *, as_json: bool) -> bool:
    document = read_file(path, _SET).lash(_exit_with_usage_error).unwrap()
    problems = review_objects(document).problems
    is_accepted = not refusals(problems)
    if as_json:
        print_json(
            {
                'file': path.name,
                'ok': is_accepted,
                'problems': describe_problems(problems),
            },
        )
        return is_accepted
    print_errors(f'{path.name}: {problem}' for problem in problems)
    if is_accepted:
        print_line(f'{path.name}: ok')
    return is_accepted


def _exit_with_usage_error(problems: Problems) -> NoReturn:
    exit_with(ExitCode.USAGE, problems)
