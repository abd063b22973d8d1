"""Answer the datagrams of other daemons and apply their gossip."""

import anyio
from anyio.abc import TaskGroup

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._datagram_codec import (
    DatagramError,
    DropCounts,
    ProbeMessage,
)
from goldcrestwharf.membership._datagrams import Datagram
from goldcrestwharf.membership._gossip_handler import GossipHandler
from goldcrestwharf.membership._probes import (
    Ack,
    Ping,
    PingRequest,
)

_MS_PER_S = 1000

#: Further ping requests are dropped.
_MAX_CONCURRENT_RELAYED_PINGS = 64


class Receiver:
    """Task that reads datagrams one after the other."""

    def __init__(
        self,
        *,
        core: Core,
        gossip_handler: GossipHandler,
    ) -> None:
        """Answer for ``core`` and pass gossip to ``gossip_handler``."""
        self.drops = DropCounts()
        self._core = core
        self._gossip_handler = gossip_handler
        self._relaying = 0

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tg:
            while True:
                datagram = await self._core.datagrams.receive()
                await self._accept(datagram, tg)

    async def _accept(self, datagram: Datagram, tg: TaskGroup) -> None:
        try:
            probe = self._core.codec.unpack(datagram.packed)
        except DatagramError as exc:
            self.drops.record(exc.kind, datagram.address)
            return
        membership = self._core.membership
        membership.last_received_at = self._core.now()
        membership.state.witness.record_running(probe.sender, probe.running)
        self._gossip_handler.apply_gossip(probe.gossip, datagram.address, tg)
        await self._answer(probe, datagram.address, tg)

    async def _answer(
        self,
        probe: ProbeMessage,
        address: str,
        tg: TaskGroup,
    ) -> None:
        local_vm = self._core.membership.local.vm
        match probe:
            case Ping(target=target) if target == local_vm:
                await self._core.messenger.ack(
                    probe.sequence,
                    probe.sender,
                    address,
                )
            case Ack():
                self._core.acks.acknowledge(probe.sequence)
            case PingRequest() if (
                self._relaying < _MAX_CONCURRENT_RELAYED_PINGS
            ):
                tg.start_soon(self._relay, probe, address)

    async def _relay(self, request: PingRequest, address: str) -> None:
        self._relaying += 1
        try:
            if await self._is_reachable(request):
                await self._core.messenger.ack(
                    request.sequence,
                    request.sender,
                    address,
                )
        finally:
            self._relaying -= 1

    async def _is_reachable(self, request: PingRequest) -> bool:
        core = self._core
        timeout = core.cfg.ack_timeout_ms / _MS_PER_S
        with core.acks.expect() as sequence:
            await core.messenger.ping(
                sequence,
                request.target,
                request.address,
            )
            return await core.acks.wait(sequence, timeout)
