"""Answer duplicates: requests whose idempotency key was used before."""

import enum

import attrs

from goldcrestwharf.errors import UnsupportedMessageError, WireFormatError
from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopUnknown,
    UnknownReason,
)
from goldcrestwharf.limits import (
    AlreadyRan,
    ClaimResult,
    Conflict,
    Running,
)
from goldcrestwharf.wire import decode

_REPLAYED = (_headers.REPLAYED, b'true')


class CopyState(enum.StrEnum):
    """State of the request that used an idempotency key first."""

    ALREADY_RAN = 'already-ran'
    RUNNING = 'running'
    KEY_REUSED = 'key-reused'


@attrs.frozen(kw_only=True)
class Duplicate:
    """The outcome of a duplicate that did not run and never will."""

    state: CopyState


def resolve_lost_claim(claim: ClaimResult) -> HopOutcome | Duplicate:
    """Return the outcome of a request whose claim was not won."""
    match claim:
        case AlreadyRan():
            return _replay(claim)
        case Running():
            return Duplicate(state=CopyState.RUNNING)
        case Conflict():
            return Duplicate(state=CopyState.KEY_REUSED)
        case _:
            return HopUnknown(reason=UnknownReason.EARLIER_COPY)


def _replay(claim: AlreadyRan) -> HopOutcome | Duplicate:
    answer = None if claim.answer is None else _decode(claim.answer)
    if answer is None:
        return Duplicate(state=CopyState.ALREADY_RAN)
    return attrs.evolve(answer, headers=(*answer.headers, _REPLAYED))


def _decode(recorded: bytes) -> HopAnswer | None:
    try:
        answer = decode(recorded)
    except (WireFormatError, UnsupportedMessageError):
        return None
    return answer if isinstance(answer, HopAnswer) else None
