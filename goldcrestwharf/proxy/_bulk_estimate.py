"""Expected times of attempts whose body or answer is large."""

import attrs

from goldcrestwharf.admission import SlotScheduler
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._body_messages import BodyAhead
from goldcrestwharf.proxy._transfers import Transfers
from goldcrestwharf.transfers import MAX_WHOLE_BYTES, TransferRank

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class BulkEstimate:
    """Expected times of an attempt at this daemon, in seconds.

    ``upload`` is the time until its body has arrived, ``target`` that in the
    queue and in the slot, ``answer`` that of its answer on the link, and
    ``answers_ahead`` that of the answers that are sent before it.
    ``backlog`` is the time until the link is free for it.
    """

    upload: float
    target: float
    answer: float
    answers_ahead: float
    backlog: float

    @property
    def total(self) -> float:
        """Return the time until the answer has left."""
        ready = self.upload + self.target
        return max(ready, self.answers_ahead) + self.answer


def estimate_bulk(
    transfers: Transfers,
    scheduler: SlotScheduler,
    attempt: Attempt,
    ahead: BodyAhead | None,
    rank: TransferRank,
) -> BulkEstimate | None:
    """Estimate the times of an attempt, ``None`` if nothing is large."""
    answer_size = transfers.answer_sizes.mean_of(attempt.request_class)
    if answer_size <= MAX_WHOLE_BYTES:
        answer_size = 0
        if ahead is None:
            return None
    answers_ahead = transfers.queue.find_time(0, rank) if answer_size else 0
    bodies_ahead = transfers.grants.find_time(0, rank) if ahead else 0
    service_time = scheduler.service_times.mean_of(attempt.request_class)
    return BulkEstimate(
        upload=_find_upload_time(transfers, ahead, rank),
        target=_find_queue_wait(scheduler) + service_time,
        answer=transfers.queue.pace.find_time(answer_size),
        answers_ahead=answers_ahead,
        backlog=max(bodies_ahead, answers_ahead),
    )


def _find_upload_time(
    transfers: Transfers, ahead: BodyAhead | None, rank: TransferRank
) -> float:
    if ahead is None:
        return 0
    return max(
        transfers.grants.find_time(ahead.size, rank), ahead.send_ms / _MS_PER_S
    )


def _find_queue_wait(scheduler: SlotScheduler) -> float:
    slots = max(scheduler.slots, 1)
    ahead = max(scheduler.busy + 1 - slots, 0)
    return ahead * scheduler.service_times.mean / slots
