"""Choice of the request that gets a free slot."""

from collections.abc import Sequence

from goldcrestwharf.admission._flow import Queued
from goldcrestwharf.admission._latest_start import find_last_chance
from goldcrestwharf.admission._slot_state import SlotState


def is_likely(queued: Queued, state: SlotState) -> bool:
    """Return whether a request that starts now is likely to end in time."""
    likely = state.service_times.likely_of(queued.request.request_class)
    return state.now() + likely <= queued.request.deadline_at


def choose(front: Sequence[Queued], state: SlotState) -> Queued | None:
    """Return the first request that is likely to end in time.

    If there is none, a small chance is better than an idle slot: the first one
    that isn't hopeless.
    """
    for queued in front:
        if is_likely(queued, state):
            return queued
    now = state.now()
    for unlikely in front:
        if now <= find_last_chance(unlikely.request, state):
            return unlikely
    return None
