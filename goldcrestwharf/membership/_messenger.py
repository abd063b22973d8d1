"""Send probes with changes piggybacked on them."""

import attrs

from goldcrestwharf.membership._datagram_codec import (
    MAC_BYTES,
    DatagramCodec,
    ProbeMessage,
)
from goldcrestwharf.membership._datagrams import Datagrams
from goldcrestwharf.membership._gossip import SuspicionNotice
from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._probes import (
    Ack,
    Ping,
    PingRequest,
    Spread,
)
from goldcrestwharf.wire import encode

#: Bytes that a non-empty list of changes adds to the message, at most.
_LIST_BYTES = 8

#: States that a member has to be notified of, so that it can refute them.
_REFUTABLE_STATES = frozenset((MemberState.SUSPECT, MemberState.DEAD))


class Messenger:
    """Sender of this daemon's datagrams, each filled up with changes."""

    def __init__(
        self,
        *,
        membership: Membership,
        datagrams: Datagrams,
        codec: DatagramCodec,
    ) -> None:
        """Send on ``datagrams`` with ``membership.local`` as the sender."""
        self._membership = membership
        self._datagrams = datagrams
        self._codec = codec

    async def ping(self, sequence: int, target: str, address: str) -> None:
        """Ask ``target`` at ``address`` for an ack."""
        body = Ping(
            cluster=self._codec.cluster,
            sequence=sequence,
            sender=self._membership.local.vm,
            target=target,
            running=self._membership.running,
        )
        await self._send(body, address, target)

    async def ack(self, sequence: int, recipient: str, address: str) -> None:
        """Answer the ping that ``recipient`` sent from ``address``."""
        body = Ack(
            cluster=self._codec.cluster,
            sequence=sequence,
            sender=self._membership.local.vm,
            running=self._membership.running,
        )
        await self._send(body, address, recipient)

    async def request_ping(
        self,
        sequence: int,
        relay: Member,
        target: Member,
    ) -> None:
        """Ask ``relay`` to ping ``target``."""
        body = PingRequest(
            cluster=self._codec.cluster,
            sequence=sequence,
            sender=self._membership.local.vm,
            target=target.vm,
            address=target.address,
            running=self._membership.running,
        )
        await self._send(body, relay.address, relay.vm)

    async def send_gossip(self, target: Member) -> None:
        """Send ``target`` a datagram with changes alone."""
        body = Spread(
            cluster=self._codec.cluster,
            sender=self._membership.local.vm,
            running=self._membership.running,
        )
        await self._send(body, target.address, target.vm)

    async def _send(
        self,
        body: ProbeMessage,
        address: str,
        vm: str,
    ) -> None:
        free_bytes = self._codec.max_bytes - MAC_BYTES - _LIST_BYTES
        free_bytes -= len(encode(body))
        gossip = self._choose_gossip(vm, free_bytes)
        if gossip:
            body = attrs.evolve(body, gossip=gossip)
        await self._datagrams.send(self._codec.pack(body), address)

    def _choose_gossip(self, vm: str, free_bytes: int) -> tuple[bytes, ...]:
        state = self._membership.state
        first: tuple[bytes, ...] = ()
        record = state.table.get(vm)
        if record is not None and record.state in _REFUTABLE_STATES:
            first = (encode(_make_suspicion_notice(record)),)
            free_bytes -= len(first[0]) + _LIST_BYTES
        max_sends = state.scaling.max_transmissions(state.zone_size())
        return first + state.gossip.take(free_bytes, max_sends)


def _make_suspicion_notice(record: Member) -> SuspicionNotice:
    return SuspicionNotice(
        vm=record.vm,
        incarnation=record.incarnation,
        state=record.state,
    )
