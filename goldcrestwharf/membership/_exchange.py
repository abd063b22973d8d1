"""Compare all that two daemons know and send only what differs.

A comparison goes from digests of zones to those of buckets to the order
keys of members, so that daemons that agree exchange some hundred bytes.
"""

import itertools
from collections.abc import Iterator, Sequence
from typing import TypeVar

import attrs

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.membership._comparison import list_differing, renew
from goldcrestwharf.membership._core import Core, absorb_all
from goldcrestwharf.membership._learner import Learner
from goldcrestwharf.membership._messages import (
    BucketKeys,
    ComeBack,
    CompareKeys,
    CompareZones,
    KeyDifferences,
    Records,
    Taken,
    ZoneDifferences,
)
from goldcrestwharf.peers import Peers

_MS_PER_S = 1000

#: Buckets compared in one message.
_BUCKETS_AT_ONCE = 32

#: Repetitions of one message after answers that left records out.
_MAX_REPEATS = 100

_ReplyT = TypeVar('_ReplyT')


@attrs.define(kw_only=True)
class BusyPeerError(NotSentError):
    """Report a peer that serves others; ``retry_after`` is in seconds."""

    retry_after: float


@attrs.define(kw_only=True)
class Outcome:
    """Count the records that a comparison brought and gave away."""

    learned: int = 0
    given: int = 0


@attrs.frozen(kw_only=True)
class _Caller:
    """Call peers with one time-out, in seconds, and check their answers."""

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
        if isinstance(reply, ComeBack):
            raise BusyPeerError(
                reason=f'{address} serves other newcomers',
                remedy=f'come back in {reply.retry_after:.1f} s',
                retry_after=reply.retry_after,
            )
        raise OutcomeUnknownError(
            reason=f'{address} answered with {type(reply).__name__}',
            remedy='finish the upgrade of that daemon',
        )


class Exchange:
    """Run comparisons with other daemons."""

    def __init__(self, *, core: Core, peers: Peers, learner: Learner) -> None:
        """Compare what ``core`` knows over streams of ``peers``."""
        self._core = core
        self._learner = learner
        self._caller = _Caller(
            peers=peers,
            timeout=core.cfg.sync_timeout_ms / _MS_PER_S,
        )

    async def run(
        self,
        address: str,
        zones: Sequence[str] | None = None,
    ) -> Outcome:
        """Compare ``zones``, or all of them, with the daemon at ``address``.

        Raises :class:`BusyPeerError` if it asks to come back later and
        another :class:`PeerError` if it can't be reached.
        """
        outcome = Outcome()
        reply = await self._caller.call(
            address,
            self._open(zones),
            ZoneDifferences,
        )
        self._take_opening(reply)
        table = self._core.membership.known.table
        for buckets in _batched(list_differing(table, reply.buckets)):
            await self._compare(address, buckets, outcome)
        return outcome

    def _open(self, zones: Sequence[str] | None) -> CompareZones:
        membership = self._core.membership
        table = membership.known.table
        named = table.live.zones() if zones is None else zones
        return CompareZones(
            sender=membership.own,
            running=membership.running,
            is_whole=zones is None,
            digests=dict(table.digests.of_zones(named)),
            reports=membership.known.zones.reports(),
        )

    def _take_opening(self, reply: ZoneDifferences) -> None:
        membership = self._core.membership
        witness = membership.known.witness
        membership.absorb(reply.responder, self._core.now())
        witness.note(reply.responder.vm, reply.running)
        witness.note_floor(membership.own.vm, reply.floor)
        for report in reply.reports:
            self._learner.take_report(report)

    async def _compare(
        self,
        address: str,
        buckets: Sequence[BucketKeys],
        outcome: Outcome,
    ) -> None:
        request = CompareKeys(
            sender=self._core.membership.own.vm,
            buckets=tuple(buckets),
        )
        membership = self._core.membership
        for _ in range(_MAX_REPEATS):
            reply = await self._caller.call(address, request, KeyDifferences)
            outcome.learned += absorb_all(self._core, reply.records)
            outcome.given += await self._give(address, reply.wanted)
            if not reply.is_more:
                return
            request = renew(membership.known.table, request)

    async def _give(self, address: str, wanted: Sequence[str]) -> int:
        table = self._core.membership.known.table
        found = (table.get(vm) for vm in wanted)
        records = tuple(one for one in found if one is not None)
        if records:
            body = Records(records=records)
            await self._caller.call(address, body, Taken)
        return len(records)


def _batched(buckets: Iterator[BucketKeys]) -> Iterator[list[BucketKeys]]:
    while batch := list(itertools.islice(buckets, _BUCKETS_AT_ONCE)):
        yield batch
