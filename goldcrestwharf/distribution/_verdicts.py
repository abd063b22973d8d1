"""Spread the verdicts on requests that kill targets.

A verdict that is news is passed on to a few random daemons, in the own zone
and beyond, so that it is everywhere after a few rounds; now and then each
daemon compares all verdicts with one random other, which reaches the rest.
"""

import logging
import random
from collections.abc import Sequence

import attrs

from goldcrestwharf.errors import PeerError
from goldcrestwharf.limits import CrashGuard, CrashReport
from goldcrestwharf.membership import Member, MembershipView
from goldcrestwharf.peers import Handlers, PeerConn, Peers
from goldcrestwharf.timers import Timers, subscribe
from goldcrestwharf.wire import message

_log = logging.getLogger(__name__)

_ROUND_S = 0.2
_ROUNDS_PER_COMPARISON = 50
_NEAR = 4
_FAR = 2
_MAX_VERDICTS = 256


@message('distribution.verdicts')
@attrs.frozen(kw_only=True)
class Verdicts:
    """Tell what is known of requests that kill targets."""

    verdicts: tuple[CrashReport, ...]


@attrs.define(kw_only=True, eq=False)
class VerdictSpreader:
    """Pass on what changes in the book of ``guard``."""

    guard: CrashGuard
    view: MembershipView
    peers: Peers
    timers: Timers
    rng: random.Random

    def register(self, handlers: Handlers) -> None:
        """Take in what other daemons pass on."""
        handlers.on(Verdicts)(self.take)

    async def take(self, told: Verdicts, _conn: PeerConn) -> None:
        """Merge what a daemon told; news are passed on in the next round."""
        for verdict in told.verdicts:
            if self.guard.merge(verdict):
                _log.info(
                    'crash.verdict fingerprint=%s refused_ms=%d',
                    verdict.fingerprint,
                    verdict.refused_ms,
                )

    async def run(self) -> None:
        """Pass on news each round until cancelled."""
        rounds = 0
        async for _ in subscribe(self.timers, period=_ROUND_S):
            rounds += 1
            await self._tell(self.guard.table.take_updates(), _NEAR, _FAR)
            if rounds % _ROUNDS_PER_COMPARISON == 0:
                await self._tell(self.guard.table.reports(), 1, 0)

    async def _tell(
        self,
        verdicts: Sequence[CrashReport],
        near: int,
        far: int,
    ) -> None:
        if not verdicts:
            return
        told = Verdicts(verdicts=tuple(verdicts[:_MAX_VERDICTS]))
        for member in self._choose(near, far):
            try:
                await self.peers.send(member.address, told)
            except PeerError as exc:
                _log.debug('crash.not_told vm=%s reason=%s', member.vm, exc)

    def _choose(self, near: int, far: int) -> Sequence[Member]:
        own = self.view.local_member()
        others = [one for one in self.view.members() if one.vm != own.vm]
        inside = [one for one in others if one.zone == own.zone]
        outside = [one for one in others if one.zone != own.zone]
        return [
            *self.rng.sample(inside, min(near, len(inside))),
            *self.rng.sample(outside, min(far, len(outside))),
        ]
