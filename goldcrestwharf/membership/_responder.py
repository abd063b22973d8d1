"""Answer the comparisons that other daemons start."""

from goldcrestwharf.membership._comparison import find_differences
from goldcrestwharf.membership._core import Core, merge_records
from goldcrestwharf.membership._gossip_handler import GossipHandler
from goldcrestwharf.membership._messages import (
    CompareKeys,
    CompareZones,
    Fetch,
    KeyDifferences,
    Records,
    RecordsMerged,
    RetryLater,
    ZoneDifferences,
)
from goldcrestwharf.membership._rate_limiter import RecordRateLimiter
from goldcrestwharf.peers import Handlers, PeerConn


class Responder:
    """Server side of comparisons, within the limit of ``rate_limiter``."""

    def __init__(
        self,
        *,
        core: Core,
        gossip_handler: GossipHandler,
        rate_limiter: RecordRateLimiter,
    ) -> None:
        """Answer with the records of ``core``."""
        self._core = core
        self._gossip_handler = gossip_handler
        self._rate_limiter = rate_limiter

    def register(self, handlers: Handlers) -> None:
        """Answer the messages of comparisons that reach ``handlers``."""
        handlers.on(CompareZones)(self.compare_zones)
        handlers.on(CompareKeys)(self.compare_keys)
        handlers.on(Fetch)(self.fetch)
        handlers.on(Records)(self.merge)

    async def compare_zones(
        self,
        request: CompareZones,
        _conn: PeerConn,
    ) -> ZoneDifferences | RetryLater:
        """Answer with the digests of the zones that differ."""
        wait = self._rate_limiter.retry_after()
        if wait > 0:
            return RetryLater(retry_after=wait)
        self._apply_opening(request)
        membership = self._core.membership
        table = membership.state.table
        zones = set(request.digests)
        if request.is_whole:
            zones.update(table.live.zones())
        local = table.digests.of_zones(zones)
        return ZoneDifferences(
            responder=membership.local,
            running=membership.running,
            floor=membership.state.witness.floor_for(request.sender.vm),
            buckets={
                zone: table.digests.of_buckets(zone)
                for zone in zones
                if local[zone] != request.digests.get(zone)
            },
            reports=membership.state.zones.reports(),
        )

    async def compare_keys(
        self,
        request: CompareKeys,
        _conn: PeerConn,
    ) -> KeyDifferences | RetryLater:
        """Answer with newer records and the VMs whose record is wanted."""
        wait = self._rate_limiter.retry_after()
        if wait > 0:
            return RetryLater(retry_after=wait)
        reply = find_differences(
            self._core.membership.state.table,
            request,
            limit=self._core.cfg.sync_records,
        )
        self._rate_limiter.consume(len(reply.records))
        return reply

    async def fetch(self, request: Fetch, _conn: PeerConn) -> Records:
        """Answer with the records asked for."""
        table = self._core.membership.state.table
        limit = self._core.cfg.sync_records
        found = (table.get(vm) for vm in request.vms[:limit])
        return Records(records=tuple(one for one in found if one is not None))

    async def merge(self, records: Records, _conn: PeerConn) -> RecordsMerged:
        """Merge newer records that the peer sends."""
        merge_records(self._core, records.records)
        return RecordsMerged()

    def _apply_opening(self, request: CompareZones) -> None:
        membership = self._core.membership
        membership.merge_record(request.sender, self._core.now())
        membership.state.witness.record_running(
            request.sender.vm, request.running
        )
        for report in request.reports:
            self._gossip_handler.apply_zone_report(report)
