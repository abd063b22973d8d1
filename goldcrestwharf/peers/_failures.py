"""Report to a peer why its call was not answered."""

import enum

import attrs

from goldcrestwharf.errors import (
    NotSentError,
    OutcomeUnknownError,
    PeerError,
    UnsupportedMessageError,
)
from goldcrestwharf.wire import message


class FailureKind(enum.StrEnum):
    """Reason of a failed call; for all but the last no handler ran."""

    UNSUPPORTED = 'unsupported'
    MALFORMED = 'malformed'
    BUSY = 'busy'
    INTERNAL = 'internal'


@message('peers.failure')
@attrs.frozen(kw_only=True)
class Failure:
    """Answer to a call that failed."""

    kind: str
    reason: str
    remedy: str


def make_error(failure: Failure) -> PeerError:
    """Return the error that the calling side raises for ``failure``."""
    match failure.kind:
        case FailureKind.UNSUPPORTED:
            error: type[PeerError] = UnsupportedMessageError
        case FailureKind.MALFORMED | FailureKind.BUSY:
            error = NotSentError
        case _:
            error = OutcomeUnknownError
    return error(reason=failure.reason, remedy=failure.remedy)
