"""Dependencies of the components that get tokens for this entry."""

from collections.abc import Callable

import attrs

from goldcrestwharf.proxy._quota_calls import QuotaCalls, UnansweredError
from goldcrestwharf.proxy._quota_members import QuotaMembers
from goldcrestwharf.proxy._quota_metrics import QuotaReport
from goldcrestwharf.quotas import AccountBook, Allotment, TokenRequest


@attrs.frozen(kw_only=True)
class QuotaContext:
    """Dependencies shared by all workspaces.

    ``local`` is the name of this daemon, and ``book`` has its own accounts.
    """

    local: str
    members: QuotaMembers
    book: AccountBook
    calls: QuotaCalls
    report: QuotaReport
    clock: Callable[[], float]

    async def call(
        self, coordinator: str, request: TokenRequest
    ) -> Allotment | None:
        """Return the tokens of a coordinator, ``None`` to ask the next one."""
        if coordinator == self.local:
            return self.book.grant(coordinator, request)
        try:
            return await self.calls.call(coordinator, request)
        except UnansweredError:
            self.members.avoid(coordinator)
            self.report.report_unanswered(request.workspace, coordinator)
        return None

    def give_back(self, coordinator: str, request: TokenRequest) -> None:
        """Return tokens that were not used."""
        if coordinator == self.local:
            self.book.give_back(request)
        else:
            self.calls.give_back(coordinator, request)
