"""What is known of a request when it releases its slot."""

import enum

import attrs

#: Mean concurrency below which a division by it is meaningless.
_MIN_IN_USE = 1.0


class SlotOutcome(enum.StrEnum):
    """How a request released its slot.

    ``LATE`` means that its deadline passed, so its time is a lower bound.
    ``OTHER`` says nothing of the time: failed, refused, broken or cancelled.
    """

    ANSWERED = 'answered'
    LATE = 'late'
    OTHER = 'other'


@attrs.frozen(kw_only=True)
class SlotSample:
    """One use of a slot.

    ``duration`` is the time in the slot, in seconds. The slots in use count
    the request itself; ``mean_in_use`` is their mean over its time in the
    slot, and ``mean_calls`` that of the calls of the target under way.
    ``is_cold`` is set during the cold start of the target.
    """

    request_class: str
    duration: float
    in_use_at_start: int
    in_use_at_end: int
    mean_in_use: float
    outcome: SlotOutcome = SlotOutcome.ANSWERED
    mean_calls: float = 0
    is_cold: bool = False

    @property
    def call_share(self) -> float:
        """Return the estimated share of slot time spent waiting for calls.

        A call can't be matched to its request, so each request counts with
        the mean share of all that were in progress beside it.
        """
        return min(self.mean_calls / max(self.mean_in_use, _MIN_IN_USE), 1)
