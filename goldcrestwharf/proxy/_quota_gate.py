"""Admission of callers' requests by the limits of their workspaces."""

import math

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.proxy._plan import Plan
from goldcrestwharf.proxy._quota_client import QuotaClient
from goldcrestwharf.proxy._quota_context import QuotaContext
from goldcrestwharf.quotas import Limit, Token
from goldcrestwharf.workspaces import Workspace


class QuotaGate:
    """Gate that lets a request pass once it has a token."""

    def __init__(self, *, context: QuotaContext) -> None:
        """Start without workspaces."""
        self._context = context
        self._clients: dict[str, QuotaClient] = {}
        self._limits: dict[str, Limit] = {}

    async def admit(self, plan: Plan) -> Refusal | None:
        """Take a token for a request, unless it needs none."""
        workspace = plan.workspace
        if workspace is None or workspace.rate is None:
            return None
        began_at = self._context.clock()
        outcome = await self._find_client(workspace).take(plan.request_id)
        report = self._context.report
        report.record_wait(self._context.clock() - began_at)
        if isinstance(outcome, Token):
            plan.token = outcome
            report.count(workspace.name, 'granted')
            return None
        if outcome.reason is RefusalReason.OVER_LIMIT:
            report.report_refusal(workspace.name, outcome.retry_after)
        else:
            report.count(workspace.name, 'undecided')
        return outcome

    def settle(self, plan: Plan) -> None:
        """Return the token of a request that ended without a run."""
        token = plan.token
        plan.token = None
        if token is not None and not plan.may_have_run:
            self._clients[token.workspace].give_back(token)

    def check(self) -> None:
        """Release unclaimed tokens; called several times a second."""
        for client in self._clients.values():
            client.release()

    def drop(self, coordinator: str) -> None:
        """Drop the tokens of a daemon whose stream ended.

        It may be back soon under the same name, with new accounts.
        """
        for client in self._clients.values():
            client.stock.drop(coordinator)

    def close(self) -> None:
        """Stop asking for tokens."""
        for client in self._clients.values():
            client.close()

    def _find_client(self, workspace: Workspace) -> QuotaClient:
        client = self._clients.get(workspace.name)
        if client is None:
            client = QuotaClient(
                workspace=workspace.name, context=self._context
            )
            self._clients[workspace.name] = client
        limit = make_limit(workspace)
        if self._limits.get(workspace.name) != limit:
            self._limits[workspace.name] = limit
            client.stock.promises.clear()
        return client


def make_limit(workspace: Workspace) -> Limit:
    """Return the limit of a workspace."""
    rate = math.inf if workspace.rate is None else workspace.rate
    return Limit(rate=rate, burst=workspace.burst)
