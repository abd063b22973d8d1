"""Ask other daemons what they run."""

from collections.abc import Sequence

import anyio
import attrs

from goldcrestwharf.admin._context import AdminContext
from goldcrestwharf.admin._documents import (
    AskReport,
    DaemonReport,
    FleetReport,
)
from goldcrestwharf.admin._report import report_daemon
from goldcrestwharf.errors import PeerError
from goldcrestwharf.membership import Member
from goldcrestwharf.peers import Handlers, PeerConn

_ANSWER_S = 3
_AT_ONCE = 32


def register_admin(handlers: Handlers, context: AdminContext) -> None:
    """Answer other daemons that ask for this one's report."""
    reporter = _Reporter(context=context)
    handlers.on(AskReport)(reporter.answer)


@attrs.frozen(kw_only=True)
class _Reporter:
    """Report on this daemon to others."""

    context: AdminContext

    async def answer(self, _ask: AskReport, _conn: PeerConn) -> DaemonReport:
        """Return what this daemon runs and why it runs nothing newer."""
        return report_daemon(self.context)


@attrs.define(kw_only=True, eq=False)
class FleetSurvey:
    """Ask the members for their reports, a bounded number at once."""

    context: AdminContext
    reports: list[DaemonReport] = attrs.field(factory=list, init=False)
    unreachable: list[str] = attrs.field(factory=list, init=False)

    async def run(self, version: str) -> FleetReport:
        """Return who does not run ``version``, and why.

        Members that were last heard to run it are counted, not asked.
        """
        members = tuple(self.context.view.members())
        asked = [one for one in members if not self._has_run(one, version)]
        await self._ask_all(asked)
        behind = [one for one in self.reports if one.version != version]
        lacking = len(behind) + len(self.unreachable)
        return FleetReport(
            version=version,
            members=len(members),
            on_version=len(members) - lacking,
            asked=len(asked),
            behind=tuple(sorted(behind, key=_name)),
            unreachable=tuple(sorted(self.unreachable)),
        )

    def _has_run(self, member: Member, version: str) -> bool:
        return self.context.view.floor_for(member.vm) == version

    async def _ask_all(self, members: Sequence[Member]) -> None:
        limiter = anyio.CapacityLimiter(_AT_ONCE)
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
                    AskReport(),
                    timeout=_ANSWER_S,
                )
            except PeerError:
                report = None
        if isinstance(report, DaemonReport):
            self.reports.append(report)
        else:
            self.unreachable.append(member.vm)


def _name(report: DaemonReport) -> str:
    return report.vm
