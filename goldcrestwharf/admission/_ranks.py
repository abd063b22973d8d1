"""Ranks of requests: which ones go first whatever their age."""

from goldcrestwharf.admission._service_times import ServiceTimes
from goldcrestwharf.admission._slot_request import SlotRequest

#: Fraction of the mean service time below which a request class is short.
_SHORT_CLASS_FRACTION = 0.6

#: Sort key of the queue: short requests first, then by priority.
Rank = tuple[bool, int]


def find_rank(request: SlotRequest, service_times: ServiceTimes) -> Rank:
    """Rank short requests first, whatever their priority.

    They occupy little slot time, and the longer request that makes such a
    call occupies a slot of another target until the call is answered.
    """
    expected = service_times.mean_of(request.request_class)
    return (
        expected >= service_times.mean * _SHORT_CLASS_FRACTION,
        request.priority,
    )


def is_short(rank: Rank) -> bool:
    """Return whether a rank is that of short requests."""
    return not rank[0]
