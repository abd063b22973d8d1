"""Answer the comparisons that other daemons open."""

from goldcrestwharf.membership._admission import Admission
from goldcrestwharf.membership._comparison import answer_keys
from goldcrestwharf.membership._core import Core, absorb_all
from goldcrestwharf.membership._learner import Learner
from goldcrestwharf.membership._messages import (
    ComeBack,
    CompareKeys,
    CompareZones,
    Fetch,
    KeyDifferences,
    Records,
    Taken,
    ZoneDifferences,
)
from goldcrestwharf.peers import Handlers, PeerConn


class Responder:
    """Answer within the bounds that ``admission`` sets."""

    def __init__(
        self,
        *,
        core: Core,
        learner: Learner,
        admission: Admission,
    ) -> None:
        """Answer from what ``core`` knows."""
        self._core = core
        self._learner = learner
        self._admission = admission

    def register(self, handlers: Handlers) -> None:
        """Answer the messages of comparisons that reach ``handlers``."""
        handlers.on(CompareZones)(self.compare_zones)
        handlers.on(CompareKeys)(self.compare_keys)
        handlers.on(Fetch)(self.fetch)
        handlers.on(Records)(self.take)

    async def compare_zones(
        self,
        request: CompareZones,
        _conn: PeerConn,
    ) -> ZoneDifferences | ComeBack:
        """Answer with the digests of the zones that differ."""
        wait = self._admission.wait_needed()
        if wait > 0:
            return ComeBack(retry_after=wait)
        self._take_opening(request)
        membership = self._core.membership
        table = membership.known.table
        zones = set(request.digests)
        if request.is_whole:
            zones.update(table.live.zones())
        own = table.digests.of_zones(zones)
        return ZoneDifferences(
            responder=membership.own,
            running=membership.running,
            floor=membership.known.witness.floor_for(request.sender.vm),
            buckets={
                zone: table.digests.of_buckets(zone)
                for zone in zones
                if own[zone] != request.digests.get(zone)
            },
            reports=membership.known.zones.reports(),
        )

    async def compare_keys(
        self,
        request: CompareKeys,
        _conn: PeerConn,
    ) -> KeyDifferences | ComeBack:
        """Answer with newer records and the names of those wanted."""
        wait = self._admission.wait_needed()
        if wait > 0:
            return ComeBack(retry_after=wait)
        reply = answer_keys(
            self._core.membership.known.table,
            request,
            limit=self._core.cfg.sync_records,
        )
        self._admission.spend(len(reply.records))
        return reply

    async def fetch(self, request: Fetch, _conn: PeerConn) -> Records:
        """Answer with the records asked for."""
        table = self._core.membership.known.table
        limit = self._core.cfg.sync_records
        found = (table.get(vm) for vm in request.vms[:limit])
        return Records(records=tuple(one for one in found if one is not None))

    async def take(self, given: Records, _conn: PeerConn) -> Taken:
        """Merge records that the asker has ahead."""
        absorb_all(self._core, given.records)
        return Taken()

    def _take_opening(self, request: CompareZones) -> None:
        membership = self._core.membership
        membership.absorb(request.sender, self._core.now())
        membership.known.witness.note(request.sender.vm, request.running)
        for report in request.reports:
            self._learner.take_report(report)
