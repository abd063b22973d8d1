"""Synchronize records between zones.

For each other zone a few daemons have the role of comparing with it. They
compare with the holders of the same role there and mark the zone as
unreachable when none of its members could be reached for some time.
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
_JITTER_FRACTION = 0.1

_log = logging.getLogger(__name__)


class Bridge:
    """Periodic comparisons with the zones that this daemon has the role for.

    ``_busy`` has the zones with a comparison under way.
    """

    def __init__(self, *, core: Core, exchange: Exchange) -> None:
        """Compare through ``exchange``."""
        self._core = core
        self._exchange = exchange
        self._busy: set[str] = set()

    async def run(self) -> None:
        """Compare until cancelled; a slow zone doesn't delay the others."""
        core = self._core
        ticks = subscribe(
            core.timers,
            period=core.cfg.bridge_ms / _MS_PER_S,
            jitter=_JITTER_FRACTION,
            rng=core.rng,
        )
        async with anyio.create_task_group() as tg:
            async for _ in ticks:
                for zone in self._zones():
                    tg.start_soon(self.compare, zone)

    async def compare(self, zone: str) -> None:
        """Compare once with the first member of ``zone`` that answers."""
        self._busy.add(zone)
        try:
            is_reached = await self._reach(zone)
        finally:
            self._busy.discard(zone)
        self._report(zone, is_reached=is_reached)

    async def _reach(self, zone: str) -> bool:
        local_zone = self._core.membership.local.zone
        for member in _list_candidates(self._core, zone):
            try:
                await self._exchange.run(member.address, (local_zone, zone))
            except BusyPeerError:
                return True
            except PeerError as exc:
                _log.debug('bridge.failed vm=%s reason=%s', member.vm, exc)
            else:
                return True
        return False

    def _report(self, zone: str, *, is_reached: bool) -> None:
        state = self._core.membership.state
        vm = self._core.membership.local.vm
        now = self._core.now()
        if is_reached:
            report = state.zones.record_contact(zone, vm, now)
        else:
            timeout = self._core.cfg.zone_stale_ms / _MS_PER_S
            report = state.zones.record_failure(
                zone, vm, now=now, timeout=timeout
            )
        if report is not None:
            _log.warning(
                'zone.changed zone=%s reachable=%s',
                zone,
                report.is_reachable,
            )
            state.gossip.put(f'zone {zone}', encode(report))
            state.table.changes.record()

    def _zones(self) -> Sequence[str]:
        core = self._core
        table = core.membership.state.table
        zones = table.live.zones()
        return [
            zone
            for zone in zones
            if zone not in self._busy and _is_local_role(core, zone)
        ]


def _is_local_role(core: Core, zone: str) -> bool:
    local_zone = core.membership.local.zone
    if zone == local_zone:
        return False
    count = core.cfg.bridges
    return core.roles.is_holder(_make_role_name(zone), local_zone, count)


def _list_candidates(core: Core, zone: str) -> Sequence[Member]:
    """Return the holders of the role there, then one random live member."""
    role = _make_role_name(core.membership.local.zone)
    holders = core.roles.holders(role, zone, core.cfg.bridges)
    chosen = core.rng.sample(list(holders), len(holders))
    records = core.membership.state.table.records(zone)
    live = [one for one in records if _is_live(one)]
    return chosen + core.rng.sample(live, min(1, len(live)))


def _make_role_name(zone: str) -> str:
    return f'bridge {zone}'


def _is_live(record: Member) -> bool:
    return record.state is not MemberState.DEAD
