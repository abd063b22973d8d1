"""Check each set of a folder."""

from collections.abc import Iterator
from pathlib import Path
from typing import NoReturn

from goldcrestwharf.documents import Problems, read_file, refusals
from goldcrestwharf.objects import Place, review_objects
from goldcrestwharf.ui._output import ExitCode, complain, end, show, show_json
from goldcrestwharf.ui._problems import describe_problems

_SET = Place(kind='set')
_SUFFIXES = frozenset(('.json', '.jsonc'))


def check_folder(folder: Path, *, as_json: bool) -> None:
    """Check each set in ``folder``, each by itself.

    Ends the command with 1 if any of them is refused, and with 2 if there
    is none or one can't be read.
    """
    paths = sorted(_find_sets(folder))
    if not paths:
        end(ExitCode.USAGE, [f'{folder}: no .jsonc or .json file in it'])
    verdicts = [_check_one(path, as_json=as_json) for path in paths]
    if not all(verdicts):
        end(ExitCode.REFUSED)


def _find_sets(folder: Path) -> Iterator[Path]:
    return (path for path in folder.iterdir() if path.suffix in _SUFFIXES)


def _check_one(path: Path, *, as_json: bool) -> bool:
    document = read_file(path, _SET).lash(_end_unread).unwrap()
    problems = review_objects(document).problems
    is_accepted = not refusals(problems)
    if as_json:
        show_json(
            {
                'file': path.name,
                'ok': is_accepted,
                'problems': describe_problems(problems),
            },
        )
        return is_accepted
    complain(f'{path.name}: {problem}' for problem in problems)
    if is_accepted:
        show(f'{path.name}: ok')
    return is_accepted


def _end_unread(problems: Problems) -> NoReturn:
    end(ExitCode.USAGE, problems)
