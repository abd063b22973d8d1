"""Take in the changes that travel with datagrams."""

import logging
from collections.abc import Sequence

from anyio.abc import TaskGroup

from goldcrestwharf.errors import (
    PeerError,
    UnsupportedMessageError,
    WireFormatError,
)
from goldcrestwharf.membership._core import Core, absorb_all
from goldcrestwharf.membership._gossip import Accusation, Notice, Rumor
from goldcrestwharf.membership._messages import Fetch, Records
from goldcrestwharf.membership._order import OrderKey, adds_to, key_of
from goldcrestwharf.membership._zones import ZoneReach
from goldcrestwharf.peers import Peers
from goldcrestwharf.wire import decode, encode

_log = logging.getLogger(__name__)

_MS_PER_S = 1000

#: Records fetched at once; a notice beyond it is repeated by others.
_MAX_FETCHES = 8


class Learner:
    """Merge each change and fetch what was too large to travel along."""

    def __init__(self, *, core: Core, peers: Peers) -> None:
        """Merge into the membership of ``core``."""
        self._core = core
        self._peers = peers
        self._fetching: set[str] = set()

    def learn(
        self,
        gossip: Sequence[bytes],
        address: str,
        tg: TaskGroup,
    ) -> None:
        """Take in the changes sent from ``address``.

        A change of an unknown kind, from a newer release, is skipped.
        """
        for packed in gossip:
            try:
                change = decode(packed)
            except (WireFormatError, UnsupportedMessageError) as exc:
                _log.debug('gossip.skipped from=%s reason=%s', address, exc)
            else:
                self._take(change, address, tg)

    def take_report(self, report: ZoneReach) -> None:
        """Keep and spread a report on another zone, if it is news."""
        known = self._core.membership.known
        if known.zones.absorb(report):
            known.gossip.put(f'zone {report.zone}', encode(report))
            known.table.changes.note()

    def _take(self, change: object, address: str, tg: TaskGroup) -> None:
        match change:
            case Rumor():
                absorb_all(self._core, (change.member,))
            case Accusation():
                self._core.membership.hear_accusation(change)
            case Notice() if self._is_wanted(change):
                tg.start_soon(self._fetch, change.vm, address)
            case ZoneReach():
                self.take_report(change)

    def _is_wanted(self, notice: Notice) -> bool:
        if notice.vm in self._fetching or len(self._fetching) >= _MAX_FETCHES:
            return False
        table = self._core.membership.known.table
        record = table.get(notice.vm)
        key = OrderKey(notice.incarnation, notice.revision, notice.rank)
        return record is None or adds_to(key, key_of(record))

    async def _fetch(self, vm: str, address: str) -> None:
        self._fetching.add(vm)
        try:
            reply = await self._call(vm, address)
        finally:
            self._fetching.discard(vm)
        if isinstance(reply, Records):
            absorb_all(self._core, reply.records)

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
