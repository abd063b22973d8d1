"""Gossip the reports of requests that crash targets.

A changed report is sent on to a few random daemons, in the local zone and in
others, so that it reaches most daemons after a few rounds; periodically each
daemon sends all its reports to one random other, which reaches the rest.
"""

import logging
import random
from collections.abc import Sequence

import attrs

from goldcrestwharf.errors import PeerError
from goldcrestwharf.membership import Member, MembershipView
from goldcrestwharf.peers import Handlers, PeerConn, Peers
from goldcrestwharf.quarantine import CrashGuard, CrashReport
from goldcrestwharf.timers import Timers, subscribe
from goldcrestwharf.wire import message

_log = logging.getLogger(__name__)

_ROUND_INTERVAL_S = 0.2
_ROUNDS_PER_COMPARISON = 50
_LOCAL_ZONE_FANOUT = 4
_REMOTE_ZONE_FANOUT = 2
_MAX_REPORTS = 256


@message('distribution.verdicts')
@attrs.frozen(kw_only=True)
class CrashReports:
    """The reports that one daemon sends to another."""

    verdicts: tuple[CrashReport, ...]


@attrs.define(kw_only=True, eq=False)
class CrashReportGossip:
    """The task that gossips the crash reports of ``guard`` when they change."""

    guard: CrashGuard
    view: MembershipView
    peers: Peers
    timers: Timers
    rng: random.Random

    def register(self, handlers: Handlers) -> None:
        """Register the handler of the reports of other daemons."""
        handlers.on(CrashReports)(self.receive)

    async def receive(self, received: CrashReports, _conn: PeerConn) -> None:
        """Merge received reports; changes are sent on in the next round."""
        for report in received.verdicts:
            if self.guard.merge(report):
                _log.info(
                    'crash.verdict fingerprint=%s refused_ms=%d',
                    report.fingerprint,
                    report.refused_ms,
                )

    async def run(self) -> None:
        """Send changed reports each round until cancelled."""
        rounds = 0
        async for _ in subscribe(self.timers, period=_ROUND_INTERVAL_S):
            rounds += 1
            await self._send(
                self.guard.table.take_updates(),
                _LOCAL_ZONE_FANOUT,
                _REMOTE_ZONE_FANOUT,
            )
            if rounds % _ROUNDS_PER_COMPARISON == 0:
                await self._send(self.guard.table.reports(), 1, 0)

    async def _send(
        self,
        reports: Sequence[CrashReport],
        local_count: int,
        remote_count: int,
    ) -> None:
        if not reports:
            return
        outgoing = CrashReports(verdicts=tuple(reports[:_MAX_REPORTS]))
        for member in self._choose(local_count, remote_count):
            try:
                await self.peers.send(member.address, outgoing)
            except PeerError as exc:
                _log.debug('crash.not_told vm=%s reason=%s', member.vm, exc)

    def _choose(self, local_count: int, remote_count: int) -> Sequence[Member]:
        local = self.view.local_member()
        others = [one for one in self.view.members() if one.vm != local.vm]
        inside = [one for one in others if one.zone == local.zone]
        outside = [one for one in others if one.zone != local.zone]
        return [
            *self.rng.sample(inside, min(local_count, len(inside))),
            *self.rng.sample(outside, min(remote_count, len(outside))),
        ]
