"""Turn the outcome of a try into evidence about its target."""

from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopReason,
    HopRefusal,
    UnknownReason,
)
from goldcrestwharf.limits import RefusalReason
from goldcrestwharf.routing import OutcomeKind

_SHEDDING = 503

#: Refusals after which the target had better not be chosen again.
_UNREACHABLE = frozenset(
    (
        HopReason.NOT_SENT,
        HopReason.TARGET_UNKNOWN,
        RefusalReason.LEAVING,
    )
)


def judge(outcome: HopOutcome | None) -> OutcomeKind:
    """Return what ``outcome`` says of the target.

    ``None`` stands for a try that its caller gave up. A target that answers
    503 sheds load by itself and is believed.
    """
    match outcome:
        case None:
            return OutcomeKind.ABANDONED
        case HopAnswer(status=status):
            is_shed = status == _SHEDDING
            return OutcomeKind.REFUSED if is_shed else OutcomeKind.ANSWERED
        case HopRefusal(reason=reason):
            is_gone = reason in _UNREACHABLE
            return OutcomeKind.NOT_REACHED if is_gone else OutcomeKind.REFUSED
        case _:
            is_late = outcome.reason == UnknownReason.TIMEOUT
            return OutcomeKind.TIMED_OUT if is_late else OutcomeKind.FAILED
