"""Admission to the fair queue."""

import attrs

from goldcrestwharf.admission._flow import Queued
from goldcrestwharf.admission._hopeless import HopelessSearch
from goldcrestwharf.admission._latest_start import (
    Standing,
    find_expiry,
    find_last_chance,
    find_latest_start,
)
from goldcrestwharf.admission._ranked_requests import RankedRequests
from goldcrestwharf.admission._refusal import Refusal, RefusalReason
from goldcrestwharf.admission._slack import SlackBound
from goldcrestwharf.admission._slot_request import SlotRequest
from goldcrestwharf.admission._slot_state import SlotState
from goldcrestwharf.admission._wait_estimate import WaitEstimate


@attrs.frozen(kw_only=True)
class FairAdmission:
    """Admission by the expected wait and the time that is likely needed."""

    state: SlotState
    requests: RankedRequests
    waits: WaitEstimate
    slack: SlackBound

    def admit(self, request: SlotRequest) -> Refusal | None:
        """Queue a request, or return a refusal if it can't be in time.

        Requests behind it that can't be in time any more are refused.
        """
        if self.state.now() > find_last_chance(request, self.state):
            return self._make_refusal(RefusalReason.TOO_LATE)
        queued = self.requests.describe(request)
        standing = self._find_standing(queued)
        if standing.is_starved:
            # It starts early enough to meet its objective.
            likely = self.state.service_times.likely_of(request.request_class)
            queued = queued.move_forward(likely)
        wait = self.waits.find_wait(queued)
        latest = find_latest_start(queued, self.state, standing)
        self.waits.recent_work.record_arrival(queued, self.state.now())
        if self.state.now() + wait > latest:
            return Refusal(reason=RefusalReason.OVERLOADED, retry_after=wait)
        self._add(queued, wait)
        if self.slack.is_spent:
            self._refuse_hopeless()
        return None

    def add(self, request: SlotRequest) -> None:
        """Queue a request that was admitted by other rules."""
        queued = self.requests.describe(request)
        self._add(queued, self.waits.find_wait(queued))

    def refuse(self, queued: Queued, reason: RefusalReason) -> None:
        """Refuse a queued request."""
        self.requests.remove(queued.request)
        queued.request.decide(self._make_refusal(reason))

    def _make_refusal(self, reason: RefusalReason) -> Refusal:
        return Refusal(
            reason=reason,
            retry_after=self.waits.find_drain_time(len(self.requests)),
        )

    def _find_standing(self, queued: Queued) -> Standing:
        history = self.waits.recent_work.find_history(queued)
        return Standing(
            is_alone=not self.requests,
            is_starved=history.is_starved(
                queued.request.request_class, self.state.now()
            ),
        )

    def _add(self, queued: Queued, wait: float) -> None:
        queued.request.expires_at = find_expiry(queued.request, self.state)
        self.requests.add(queued)
        left = queued.request.deadline_at - self.state.now()
        self.slack.record_added(queued.cost, left - queued.cost - wait)

    def _refuse_hopeless(self) -> None:
        search = HopelessSearch(state=self.state)
        search.run(self.requests.walk())
        self.slack.reset(search.least_slack)
        for queued in search.hopeless:
            self.refuse(queued, RefusalReason.OVERLOADED)
