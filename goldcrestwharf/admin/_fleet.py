"""Collect the reports of other daemons."""

from collections.abc import Sequence

import anyio
import attrs

from goldcrestwharf.admin._context import AdminContext
from goldcrestwharf.admin._documents import (
    DaemonReport,
    FleetReport,
    ReportRequest,
)
from goldcrestwharf.admin._report import report_daemon
from goldcrestwharf.errors import PeerError
from goldcrestwharf.membership import Member
from goldcrestwharf.peers import Handlers, PeerConn

_REPORT_TIMEOUT_S = 3
_MAX_CONCURRENT_REQUESTS = 32


def register_report_handler(handlers: Handlers, context: AdminContext) -> None:
    """Register the handler of report requests from other daemons."""
    handler = _ReportHandler(context=context)
    handlers.on(ReportRequest)(handler.answer)


@attrs.frozen(kw_only=True)
class _ReportHandler:
    """Handler of report requests from other daemons."""

    context: AdminContext

    async def answer(
        self, _request: ReportRequest, _conn: PeerConn
    ) -> DaemonReport:
        """Return the report of this daemon."""
        return report_daemon(self.context)


@attrs.define(kw_only=True, eq=False)
class FleetSurvey:
    """Collection of the members' reports, with limited concurrency."""

    context: AdminContext
    reports: list[DaemonReport] = attrs.field(factory=list, init=False)
    unreachable: list[str] = attrs.field(factory=list, init=False)

    async def run(self, version: str) -> FleetReport:
        """Return the daemons that don't run ``version``, and why.

        Members whose highest reported version it is are counted without asking
        them.
        """
        members = tuple(self.context.view.members())
        to_ask = [
            member
            for member in members
            if not self._is_reported_on(member, version)
        ]
        await self._ask_all(to_ask)
        behind = [
            report for report in self.reports if report.version != version
        ]
        not_on_version = len(behind) + len(self.unreachable)
        return FleetReport(
            version=version,
            members=len(members),
            on_version=len(members) - not_on_version,
            asked=len(to_ask),
            behind=tuple(sorted(behind, key=_vm_of)),
            unreachable=tuple(sorted(self.unreachable)),
        )

    def _is_reported_on(self, member: Member, version: str) -> bool:
        return self.context.view.floor_for(member.vm) == version

    async def _ask_all(self, members: Sequence[Member]) -> None:
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)
        async with anyio.create_task_group() as tg:
            for member in members:
                tg.start_soon(self._ask, member, limiter)

    async def _ask(
        self,
        member: Member,
        limiter: anyio.CapacityLimiter,
    ) -> None:
        if member.vm == self.context.cfg.vm:
            self.reports.append(report_daemon(self.context))
            return
        async with limiter:
            try:
                report = await self.context.peers.call(
                    member.address,
                    ReportRequest(),
                    timeout=_REPORT_TIMEOUT_S,
                )
            except PeerError:
                report = None
        if isinstance(report, DaemonReport):
            self.reports.append(report)
        else:
            self.unreachable.append(member.vm)


def _vm_of(report: DaemonReport) -> str:
    return report.vm
