"""Classify the outcome of an attempt for the choice of targets."""

from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopReason,
    HopRefusal,
    UnknownReason,
)
from goldcrestwharf.limits import RefusalReason
from goldcrestwharf.routing import OutcomeKind

_LOAD_SHED_STATUS = 503

#: Refusals that mean that the target can't be reached at present.
_UNREACHABLE = frozenset(
    (
        HopReason.NOT_SENT,
        HopReason.TARGET_UNKNOWN,
        RefusalReason.LEAVING,
    )
)


def classify_outcome(outcome: HopOutcome | None) -> OutcomeKind:
    """Return the kind of ``outcome`` for the statistics of the target.

    ``None`` stands for an attempt that was cancelled. A status of 503 means
    that the target sheds load, so it counts as refused and not as failed.
    """
    match outcome:
        case None:
            return OutcomeKind.ABANDONED
        case HopAnswer(status=status):
            is_shed = status == _LOAD_SHED_STATUS
            return OutcomeKind.REFUSED if is_shed else OutcomeKind.ANSWERED
        case HopRefusal(reason=reason):
            is_gone = reason in _UNREACHABLE
            return OutcomeKind.NOT_REACHED if is_gone else OutcomeKind.REFUSED
        case _:
            is_late = outcome.reason == UnknownReason.TIMEOUT
            return OutcomeKind.TIMED_OUT if is_late else OutcomeKind.FAILED
