"""Exchange of tokens between daemons, and its wiring."""

from collections.abc import Callable, Mapping

from goldcrestwharf.discovery import Directory
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy._link import PeerLink
from goldcrestwharf.proxy._quota_calls import QuotaCalls
from goldcrestwharf.proxy._quota_context import QuotaContext
from goldcrestwharf.proxy._quota_gate import QuotaGate, make_limit
from goldcrestwharf.proxy._quota_members import QuotaMembers
from goldcrestwharf.proxy._quota_messages import (
    QuotaGrant,
    QuotaRequest,
    pack_grant,
)
from goldcrestwharf.proxy._quota_metrics import QuotaReport
from goldcrestwharf.quotas import AccountBook, Limit, Reach, TokenRequest


class QuotaExchange:
    """Tokens for the callers of this daemon, and for other daemons."""

    def __init__(
        self,
        *,
        directory: Directory,
        holder: PolicyHolder,
        clock: Callable[[], float],
        find_pause: Callable[[], float],
    ) -> None:
        """Start without links; :meth:`watch` sets them.

        ``find_pause`` returns the seconds for which a message that is read
        now may have waited.
        """
        self._find_pause = find_pause
        self._holder = holder
        self._members = QuotaMembers(directory=directory, clock=clock)
        self._report = QuotaReport(clock=clock)
        self._calls = QuotaCalls(send=self._send, clock=clock)
        self._book = AccountBook(
            view=self._members,
            find_limit=self._find_limit,
            clock=clock,
            handle_takeover=self._handle_takeover,
            report_charge=self._report_charge,
        )
        self.gate = QuotaGate(
            context=QuotaContext(
                local=directory.local.name,
                members=self._members,
                book=self._book,
                calls=self._calls,
                report=self._report,
                clock=clock,
            ),
        )

    def watch(self, links: Mapping[str, PeerLink]) -> None:
        """Reach the other daemons over ``links``."""
        self._members.links = links

    def grant(self, asker: str, request: QuotaRequest) -> QuotaGrant | None:
        """Return the answer to another daemon, ``None`` if it needs none."""
        if not request.number:
            self._book.give_back(request.unpack())
            return None
        if self._find_pause():
            # The asking daemon has gone on to the next coordinator.
            return None
        return pack_grant(request, self._book.grant(asker, request.unpack()))

    def receive(self, grant: QuotaGrant) -> None:
        """Handle the answer of a coordinator."""
        self._calls.resolve(grant)

    def handle_lost(self, peer: str) -> None:
        """Handle the end of the stream to another daemon."""
        self._calls.fail(peer)
        self.gate.drop(peer)

    def check(self) -> None:
        """Update accounts and promises; called several times a second."""
        self._members.find_reach()
        self._book.check()
        self.gate.check()

    def _find_limit(self, name: str) -> Limit | None:
        snapshot = self._holder.current
        if snapshot is None or snapshot.workspaces is None:
            return None
        workspace = snapshot.workspaces.find(name)
        return None if workspace is None else make_limit(workspace)

    def _handle_takeover(self, workspace: str, reach: Reach) -> None:
        self._report.report_takeover(workspace, reach)
        self._members.ping_all()

    def _report_charge(self, request: TokenRequest) -> None:
        granted = max(request.charged, 0)
        self._report.count(request.workspace, 'charged', granted)
        for peer in self._members.list_preceding(request.workspace):
            self._calls.give_back(peer, request)

    def _send(self, peer: str, message: object) -> None:
        link = self._members.links.get(peer)
        if link is not None:
            link.send(message)
