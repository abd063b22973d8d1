"""Carry changes between zones.

For each other zone a few daemons hold the duty of comparing with it. They
talk to the holders of the same duty there and set the zone aside when none
of its members can be reached for some time.
"""

import logging
from collections.abc import Sequence

import anyio

from goldcrestwharf.errors import PeerError
from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._exchange import BusyPeerError, Exchange
from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.timers import subscribe
from goldcrestwharf.wire import encode

_MS_PER_S = 1000
_JITTER = 0.1

_log = logging.getLogger(__name__)


class Bridge:
    """Compare with other zones while this daemon holds the duty."""

    def __init__(self, *, core: Core, exchange: Exchange) -> None:
        """Compare through ``exchange``."""
        self._core = core
        self._exchange = exchange
        self._busy: set[str] = set()

    async def run(self) -> None:
        """Compare until cancelled; a slow zone doesn't hold up others."""
        core = self._core
        ticks = subscribe(
            core.timers,
            period=core.cfg.bridge_ms / _MS_PER_S,
            jitter=_JITTER,
            rng=core.rng,
        )
        async with anyio.create_task_group() as tg:
            async for _ in ticks:
                for zone in self._zones():
                    tg.start_soon(self.compare, zone)

    async def compare(self, zone: str) -> None:
        """Compare once with a member of ``zone`` that can be reached."""
        self._busy.add(zone)
        try:
            is_reached = await self._reach(zone)
        finally:
            self._busy.discard(zone)
        self._report(zone, is_reached=is_reached)

    async def _reach(self, zone: str) -> bool:
        own_zone = self._core.membership.own.zone
        for member in _list_candidates(self._core, zone):
            try:
                await self._exchange.run(member.address, (own_zone, zone))
            except BusyPeerError:
                return True
            except PeerError as exc:
                _log.debug('bridge.failed vm=%s reason=%s', member.vm, exc)
            else:
                return True
        return False

    def _report(self, zone: str, *, is_reached: bool) -> None:
        known = self._core.membership.known
        vm = self._core.membership.own.vm
        now = self._core.now()
        if is_reached:
            report = known.zones.note_contact(zone, vm, now)
        else:
            bound = self._core.cfg.zone_stale_ms / _MS_PER_S
            report = known.zones.note_failure(zone, vm, now=now, bound=bound)
        if report is not None:
            _log.warning(
                'zone.changed zone=%s reachable=%s',
                zone,
                report.is_reachable,
            )
            known.gossip.put(f'zone {zone}', encode(report))
            known.table.changes.note()

    def _zones(self) -> Sequence[str]:
        core = self._core
        table = core.membership.known.table
        zones = table.live.zones()
        return [
            zone
            for zone in zones
            if zone not in self._busy and _is_mine(core, zone)
        ]


def _is_mine(core: Core, zone: str) -> bool:
    own_zone = core.membership.own.zone
    if zone == own_zone:
        return False
    count = core.cfg.bridges
    return core.duties.is_holder(_name_duty(zone), own_zone, count)


def _list_candidates(core: Core, zone: str) -> Sequence[Member]:
    """Return the holders of the duty there, then one other at random."""
    duty = _name_duty(core.membership.own.zone)
    holders = core.duties.holders(duty, zone, core.cfg.bridges)
    chosen = core.rng.sample(list(holders), len(holders))
    records = core.membership.known.table.records(zone)
    live = [one for one in records if _is_live(one)]
    return chosen + core.rng.sample(live, min(1, len(live)))


def _name_duty(zone: str) -> str:
    return f'bridge {zone}'


def _is_live(record: Member) -> bool:
    return record.state is not MemberState.DEAD
