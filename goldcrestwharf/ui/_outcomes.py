"""Print the outcome of a publish and exit with the matching code."""

from collections.abc import Iterator

import cattrs

from goldcrestwharf.publishing import (
    OutcomeDocument,
    OutcomeKind,
    WinnerDocument,
)
from goldcrestwharf.ui._output import (
    ExitCode,
    exit_with,
    print_json,
    print_line,
)


def report_outcome(document: OutcomeDocument, *, as_json: bool) -> None:
    """Print ``document``; exit the command unless it was successful."""
    if as_json:
        print_json(cattrs.unstructure(document))
    match document.outcome:
        case OutcomeKind.PUBLISHED | OutcomeKind.UNCHANGED:
            if not as_json:
                print_line(_describe_success(document))
        case OutcomeKind.REFUSED | OutcomeKind.SUPERSEDED:
            exit_with(ExitCode.REFUSED, _list_problems(document))
        case _:
            exit_with(ExitCode.UNREACHABLE, _list_problems(document))


def _describe_success(document: OutcomeDocument) -> str:
    if document.outcome is OutcomeKind.UNCHANGED:
        return f'nothing to publish: version {document.version} is the same'
    if document.is_repeat:
        return f'was published before as version {document.version}'
    return f'published as version {document.version}'


def _list_problems(document: OutcomeDocument) -> Iterator[str]:
    yield from document.problems
    for winner in document.winners:
        yield from _list_winner(winner)


def _list_winner(winner: WinnerDocument) -> Iterator[str]:
    author = winner.author or 'unknown author'
    for difference in winner.differences:
        yield f'version {winner.version} by {author}: {difference}'
