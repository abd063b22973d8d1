"""Apply the changes that arrive with datagrams."""

import logging
from collections.abc import Sequence

from anyio.abc import TaskGroup

from goldcrestwharf.errors import (
    PeerError,
    UnsupportedMessageError,
    WireFormatError,
)
from goldcrestwharf.membership._core import Core, merge_records
from goldcrestwharf.membership._gossip import (
    RecordNotice,
    Rumor,
    SuspicionNotice,
)
from goldcrestwharf.membership._messages import Fetch, Records
from goldcrestwharf.membership._order import OrderKey, brings_update, key_of
from goldcrestwharf.membership._zones import ZoneReach
from goldcrestwharf.peers import Peers
from goldcrestwharf.wire import decode, encode

_log = logging.getLogger(__name__)

_MS_PER_S = 1000

#: Further notices are ignored: other members send them again.
_MAX_CONCURRENT_FETCHES = 8


class GossipHandler:
    """Handler that merges changes and fetches records too large for gossip."""

    def __init__(self, *, core: Core, peers: Peers) -> None:
        """Merge into the membership of ``core``."""
        self._core = core
        self._peers = peers
        self._fetching: set[str] = set()

    def apply_gossip(
        self,
        gossip: Sequence[bytes],
        address: str,
        tg: TaskGroup,
    ) -> None:
        """Apply the changes received from ``address``.

        A change of an unknown kind, from a newer release, is skipped.
        """
        for packed in gossip:
            try:
                change = decode(packed)
            except (WireFormatError, UnsupportedMessageError) as exc:
                _log.debug('gossip.skipped from=%s reason=%s', address, exc)
            else:
                self._apply(change, address, tg)

    def apply_zone_report(self, report: ZoneReach) -> None:
        """Store and spread a report on another zone if it is newer."""
        state = self._core.membership.state
        if state.zones.apply(report):
            state.gossip.put(f'zone {report.zone}', encode(report))
            state.table.changes.record()

    def _apply(self, change: object, address: str, tg: TaskGroup) -> None:
        match change:
            case Rumor():
                merge_records(self._core, (change.member,))
            case SuspicionNotice():
                self._core.membership.refute_suspicion(change)
            case RecordNotice() if self._needs_fetch(change):
                tg.start_soon(self._fetch, change.vm, address)
            case ZoneReach():
                self.apply_zone_report(change)

    def _needs_fetch(self, notice: RecordNotice) -> bool:
        if (
            notice.vm in self._fetching
            or len(self._fetching) >= _MAX_CONCURRENT_FETCHES
        ):
            return False
        table = self._core.membership.state.table
        record = table.get(notice.vm)
        key = OrderKey(notice.incarnation, notice.revision, notice.rank)
        return record is None or brings_update(key, key_of(record))

    async def _fetch(self, vm: str, address: str) -> None:
        self._fetching.add(vm)
        try:
            reply = await self._call(vm, address)
        finally:
            self._fetching.discard(vm)
        if isinstance(reply, Records):
            merge_records(self._core, reply.records)

    async def _call(self, vm: str, address: str) -> object:
        timeout = self._core.cfg.sync_timeout_ms / _MS_PER_S
        try:
            return await self._peers.call(
                address,
                Fetch(vms=(vm,)),
                timeout=timeout,
            )
        except PeerError as exc:
            _log.debug('gossip.not_fetched vm=%s reason=%s', vm, exc)
            return None
