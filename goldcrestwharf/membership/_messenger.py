"""Send probes and let changes travel with them."""

import attrs

from goldcrestwharf.membership._datagrams import Datagrams
from goldcrestwharf.membership._gossip import Accusation
from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._model import Member, MemberState
from goldcrestwharf.membership._probes import (
    Ack,
    Ping,
    PingRequest,
    Spread,
)
from goldcrestwharf.membership._seal import MAC_BYTES, ProbeMessage, Seal
from goldcrestwharf.wire import encode

#: What a non-empty list of changes adds to the encoded message, at most.
_LIST_BYTES = 8

#: A member has to hear of these states of its own to refute them.
_REFUTABLE = frozenset((MemberState.SUSPECT, MemberState.DEAD))


class Messenger:
    """Write this daemon's datagrams, each filled up with changes."""

    def __init__(
        self,
        *,
        membership: Membership,
        datagrams: Datagrams,
        seal: Seal,
    ) -> None:
        """Send on ``datagrams`` in the name of ``membership.own``."""
        self._membership = membership
        self._datagrams = datagrams
        self._seal = seal

    async def ping(self, sequence: int, target: str, address: str) -> None:
        """Ask ``target`` at ``address`` for an answer."""
        body = Ping(
            cluster=self._seal.cluster,
            sequence=sequence,
            sender=self._membership.own.vm,
            target=target,
            running=self._membership.running,
        )
        await self._send(body, address, target)

    async def ack(self, sequence: int, asker: str, address: str) -> None:
        """Answer the ping that ``asker`` sent from ``address``."""
        body = Ack(
            cluster=self._seal.cluster,
            sequence=sequence,
            sender=self._membership.own.vm,
            running=self._membership.running,
        )
        await self._send(body, address, asker)

    async def request(
        self,
        sequence: int,
        relay: Member,
        target: Member,
    ) -> None:
        """Ask ``relay`` to ping ``target``."""
        body = PingRequest(
            cluster=self._seal.cluster,
            sequence=sequence,
            sender=self._membership.own.vm,
            target=target.vm,
            address=target.address,
            running=self._membership.running,
        )
        await self._send(body, relay.address, relay.vm)

    async def spread(self, target: Member) -> None:
        """Send changes alone to ``target``."""
        body = Spread(
            cluster=self._seal.cluster,
            sender=self._membership.own.vm,
            running=self._membership.running,
        )
        await self._send(body, target.address, target.vm)

    async def _send(
        self,
        body: ProbeMessage,
        address: str,
        vm: str,
    ) -> None:
        room = self._seal.max_bytes - MAC_BYTES - _LIST_BYTES
        room -= len(encode(body))
        gossip = self._choose_gossip(vm, room)
        if gossip:
            body = attrs.evolve(body, gossip=gossip)
        await self._datagrams.send(self._seal.close(body), address)

    def _choose_gossip(self, vm: str, room: int) -> tuple[bytes, ...]:
        known = self._membership.known
        first: tuple[bytes, ...] = ()
        record = known.table.get(vm)
        if record is not None and record.state in _REFUTABLE:
            first = (encode(_accuse(record)),)
            room -= len(first[0]) + _LIST_BYTES
        times = known.pace.transmissions(known.zone_size())
        return first + known.gossip.take(room, times)


def _accuse(record: Member) -> Accusation:
    return Accusation(
        vm=record.vm,
        incarnation=record.incarnation,
        state=record.state,
    )
