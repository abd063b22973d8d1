"""Fetch from random daemons to repair what the relay tree missed."""

import logging
import random
from collections.abc import Sequence

import attrs

from goldcrestwharf.distribution._follower import Fetcher
from goldcrestwharf.distribution._settings import DistributionSettings
from goldcrestwharf.errors import PeerError
from goldcrestwharf.membership import Member, MembershipView
from goldcrestwharf.timers import Timers, subscribe

_MS_PER_S = 1000
_JITTER_FRACTION = 0.5
_REMOTE_ZONE_FRACTION = 0.125

_log = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Comparer:
    """The anti-entropy task: a periodic fetch from a random daemon.

    One comparison in eight goes to another availability zone, so that a zone
    that is cut off from the platform still gets new versions.
    """

    view: MembershipView
    fetcher: Fetcher
    timers: Timers
    cfg: DistributionSettings
    rng: random.Random

    async def run(self) -> None:
        """Compare until cancelled."""
        period = self.cfg.compare_period_ms / _MS_PER_S
        ticks = subscribe(
            self.timers,
            period=period,
            jitter=_JITTER_FRACTION,
            rng=self.rng,
        )
        async for _ in ticks:
            await self.compare()

    async def compare(self) -> None:
        """Compare once with a random daemon, if there is any."""
        candidates = self._candidates()
        if not candidates:
            return
        member = self.rng.choice(candidates)
        try:
            await self.fetcher.fetch(member, wait_ms=0)
        except PeerError as exc:
            _log.debug(
                'distribution.compare_failed vm=%s reason=%s',
                member.vm,
                exc.reason,
            )

    def _candidates(self) -> Sequence[Member]:
        local = self.view.local_member()
        others = [
            member for member in self.view.members() if member.vm != local.vm
        ]
        local_zone = [member for member in others if member.zone == local.zone]
        remote_zones = [
            member for member in others if member.zone != local.zone
        ]
        is_remote = self.rng.random() < _REMOTE_ZONE_FRACTION
        return (
            (remote_zones or local_zone)
            if is_remote
            else (local_zone or remote_zones)
        )
