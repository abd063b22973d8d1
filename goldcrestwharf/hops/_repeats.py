"""Answer a request whose idempotency key was used before."""

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
    """Tell what became of the first copy of a request."""

    ALREADY_RAN = 'already-ran'
    RUNNING = 'running'
    KEY_REUSED = 'key-reused'


@attrs.frozen(kw_only=True)
class EarlierCopy:
    """Tell that this copy of a request did not run, nor ever will."""

    state: CopyState


def explain_claim(claim: ClaimResult) -> HopOutcome | EarlierCopy:
    """Return the answer to a request whose claim was not won."""
    match claim:
        case AlreadyRan():
            return _replay(claim)
        case Running():
            return EarlierCopy(state=CopyState.RUNNING)
        case Conflict():
            return EarlierCopy(state=CopyState.KEY_REUSED)
        case _:
            return HopUnknown(reason=UnknownReason.EARLIER_COPY)


def _replay(claim: AlreadyRan) -> HopOutcome | EarlierCopy:
    answer = None if claim.answer is None else _decode(claim.answer)
    if answer is None:
        return EarlierCopy(state=CopyState.ALREADY_RAN)
    return attrs.evolve(answer, headers=(*answer.headers, _REPLAYED))


def _decode(recorded: bytes) -> HopAnswer | None:
    try:
        answer = decode(recorded)
    except (WireFormatError, UnsupportedMessageError):
        return None
    return answer if isinstance(answer, HopAnswer) else None
