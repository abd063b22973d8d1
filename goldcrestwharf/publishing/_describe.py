"""Convert outcomes to documents."""

from goldcrestwharf.publishing._documents import (
    OutcomeDocument,
    OutcomeKind,
    WinnerDocument,
)
from goldcrestwharf.publishing._outcomes import (
    Outcome,
    OutcomeUnknown,
    Published,
    Refused,
    Superseded,
    Unchanged,
    Winner,
)
from goldcrestwharf.replay import Version


def describe_outcome(outcome: Outcome) -> OutcomeDocument:
    """Return the document that reports ``outcome``."""
    match outcome:
        case Published():
            return OutcomeDocument(
                outcome=OutcomeKind.PUBLISHED,
                id=outcome.id,
                version=str(outcome.version),
                is_repeat=outcome.is_repeat,
            )
        case Unchanged():
            return OutcomeDocument(
                outcome=OutcomeKind.UNCHANGED,
                version=str(outcome.version),
            )
        case Refused():
            return OutcomeDocument(
                outcome=OutcomeKind.REFUSED,
                problems=outcome.problems,
            )
        case Superseded():
            return _describe_superseded(outcome)
        case OutcomeUnknown():
            return _describe_unknown(outcome)


def _describe_superseded(outcome: Superseded) -> OutcomeDocument:
    base, current = (
        _format_version(outcome.base),
        _format_version(outcome.current),
    )
    return OutcomeDocument(
        outcome=OutcomeKind.SUPERSEDED,
        base=base,
        version=current,
        problems=(_describe_base(base or 'nothing', current),),
        winners=tuple(_describe_winner(each) for each in outcome.winners),
    )


def _describe_base(base: str, current: str) -> str:
    return (
        f'the set is based on {base}, but {current} is in force; take its '
        f'changes into the file and publish it with --base {current}'
    )


def _describe_winner(winner: Winner) -> WinnerDocument:
    return WinnerDocument(
        version=str(winner.version),
        author=winner.origin.author,
        note=winner.origin.note,
        published_at=winner.origin.published_at,
        differences=tuple(str(each) for each in winner.differences),
    )


def _describe_unknown(outcome: OutcomeUnknown) -> OutcomeDocument:
    base = _format_version(outcome.base)
    retry_options = f'--id {outcome.id}'
    if base:
        retry_options = f'{retry_options} --base {base}'
    return OutcomeDocument(
        outcome=OutcomeKind.UNKNOWN,
        id=outcome.id,
        base=base,
        problems=(
            f'{outcome.reason}; it may still come into force: publish the '
            f'same file again with {retry_options}, which has no second effect',
        ),
    )


def _format_version(version: Version | None) -> str:
    return '' if version is None else str(version)
