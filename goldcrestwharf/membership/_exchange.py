"""Synchronize the records of two daemons and send only the differences.

A comparison proceeds from digests of zones to those of buckets to the order
keys of members, so that daemons with equal records exchange only some
hundred bytes.
"""

import itertools
from collections.abc import Iterator, Sequence
from typing import TypeVar

import attrs

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.membership._comparison import list_differing, refresh_keys
from goldcrestwharf.membership._core import Core, merge_records
from goldcrestwharf.membership._gossip_handler import GossipHandler
from goldcrestwharf.membership._messages import (
    BucketKeys,
    CompareKeys,
    CompareZones,
    KeyDifferences,
    Records,
    RecordsMerged,
    RetryLater,
    ZoneDifferences,
)
from goldcrestwharf.peers import Peers

_MS_PER_S = 1000

#: Buckets compared in one message.
_MAX_BUCKETS_PER_MESSAGE = 32

#: Times that one message is sent while the answers leave records out.
_MAX_REPEATS = 100

_ReplyT = TypeVar('_ReplyT')


@attrs.define(kw_only=True)
class BusyPeerError(NotSentError):
    """Refusal by a peer at its rate limit; ``retry_after`` is in seconds."""

    retry_after: float


@attrs.define(kw_only=True)
class ExchangeOutcome:
    """Numbers of records that a comparison received and sent."""

    received: int = 0
    sent: int = 0


@attrs.frozen(kw_only=True)
class _CheckedCaller:
    """Calls to peers with one timeout, in seconds, and checked answers."""

    peers: Peers
    timeout: float

    async def call(
        self,
        address: str,
        body: object,
        expected: type[_ReplyT],
    ) -> _ReplyT:
        """Return the answer to ``body`` if it is of the expected type."""
        reply = await self.peers.call(address, body, timeout=self.timeout)
        if isinstance(reply, expected):
            return reply
        if isinstance(reply, RetryLater):
            raise BusyPeerError(
                reason=f'{address} has reached its limit of sent records',
                remedy=f'try it again in {reply.retry_after:.1f} s',
                retry_after=reply.retry_after,
            )
        raise OutcomeUnknownError(
            reason=f'{address} answered with {type(reply).__name__}',
            remedy='finish the upgrade of that daemon',
        )


class Exchange:
    """Client side of comparisons with other daemons."""

    def __init__(
        self, *, core: Core, peers: Peers, gossip_handler: GossipHandler
    ) -> None:
        """Compare the records of ``core`` over streams of ``peers``."""
        self._core = core
        self._gossip_handler = gossip_handler
        self._caller = _CheckedCaller(
            peers=peers,
            timeout=core.cfg.sync_timeout_ms / _MS_PER_S,
        )

    async def run(
        self,
        address: str,
        zones: Sequence[str] | None = None,
    ) -> ExchangeOutcome:
        """Compare ``zones``, or all of them, with the daemon at ``address``.

        Raises :class:`BusyPeerError` if it asks for a retry later and
        another :class:`PeerError` if it can't be reached.
        """
        outcome = ExchangeOutcome()
        reply = await self._caller.call(
            address,
            self._make_opening(zones),
            ZoneDifferences,
        )
        self._apply_opening(reply)
        table = self._core.membership.state.table
        for buckets in _batched(list_differing(table, reply.buckets)):
            await self._compare(address, buckets, outcome)
        return outcome

    def _make_opening(self, zones: Sequence[str] | None) -> CompareZones:
        membership = self._core.membership
        table = membership.state.table
        named = table.live.zones() if zones is None else zones
        return CompareZones(
            sender=membership.local,
            running=membership.running,
            is_whole=zones is None,
            digests=dict(table.digests.of_zones(named)),
            reports=membership.state.zones.reports(),
        )

    def _apply_opening(self, reply: ZoneDifferences) -> None:
        membership = self._core.membership
        witness = membership.state.witness
        membership.merge_record(reply.responder, self._core.now())
        witness.record_running(reply.responder.vm, reply.running)
        witness.record_floor(membership.local.vm, reply.floor)
        for report in reply.reports:
            self._gossip_handler.apply_zone_report(report)

    async def _compare(
        self,
        address: str,
        buckets: Sequence[BucketKeys],
        outcome: ExchangeOutcome,
    ) -> None:
        request = CompareKeys(
            sender=self._core.membership.local.vm,
            buckets=tuple(buckets),
        )
        membership = self._core.membership
        for _ in range(_MAX_REPEATS):
            reply = await self._caller.call(address, request, KeyDifferences)
            outcome.received += merge_records(self._core, reply.records)
            outcome.sent += await self._send_records(address, reply.wanted)
            if not reply.is_more:
                return
            request = refresh_keys(membership.state.table, request)

    async def _send_records(self, address: str, wanted: Sequence[str]) -> int:
        table = self._core.membership.state.table
        found = (table.get(vm) for vm in wanted)
        records = tuple(one for one in found if one is not None)
        if records:
            body = Records(records=records)
            await self._caller.call(address, body, RecordsMerged)
        return len(records)


def _batched(buckets: Iterator[BucketKeys]) -> Iterator[list[BucketKeys]]:
    while batch := list(itertools.islice(buckets, _MAX_BUCKETS_PER_MESSAGE)):
        yield batch
