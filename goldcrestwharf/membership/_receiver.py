"""Answer the datagrams of other daemons and learn from them."""

import anyio
from anyio.abc import TaskGroup

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._datagrams import Datagram
from goldcrestwharf.membership._learner import Learner
from goldcrestwharf.membership._probes import (
    Ack,
    Ping,
    PingRequest,
)
from goldcrestwharf.membership._seal import (
    DatagramError,
    DropCounts,
    ProbeMessage,
)

_MS_PER_S = 1000

#: Pings on behalf of others that run at once; more requests are dropped.
_MAX_RELAYED = 64


class Receiver:
    """Read datagrams one after the other."""

    def __init__(
        self,
        *,
        core: Core,
        learner: Learner,
    ) -> None:
        """Answer in the name of ``core`` and hand gossip to ``learner``."""
        self.drops = DropCounts()
        self._core = core
        self._learner = learner
        self._relaying = 0

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tg:
            while True:
                datagram = await self._core.datagrams.receive()
                await self._accept(datagram, tg)

    async def _accept(self, datagram: Datagram, tg: TaskGroup) -> None:
        try:
            probe = self._core.seal.open(datagram.packed)
        except DatagramError as exc:
            self.drops.note(exc.kind, datagram.address)
            return
        membership = self._core.membership
        membership.heard_at = self._core.now()
        membership.known.witness.note(probe.sender, probe.running)
        self._learner.learn(probe.gossip, datagram.address, tg)
        await self._answer(probe, datagram.address, tg)

    async def _answer(
        self,
        probe: ProbeMessage,
        address: str,
        tg: TaskGroup,
    ) -> None:
        own_vm = self._core.membership.own.vm
        match probe:
            case Ping(target=target) if target == own_vm:
                await self._core.messenger.ack(
                    probe.sequence,
                    probe.sender,
                    address,
                )
            case Ack():
                self._core.acks.settle(probe.sequence)
            case PingRequest() if self._relaying < _MAX_RELAYED:
                tg.start_soon(self._relay, probe, address)

    async def _relay(self, request: PingRequest, address: str) -> None:
        self._relaying += 1
        try:
            if await self._reaches(request):
                await self._core.messenger.ack(
                    request.sequence,
                    request.sender,
                    address,
                )
        finally:
            self._relaying -= 1

    async def _reaches(self, request: PingRequest) -> bool:
        core = self._core
        timeout = core.cfg.ack_timeout_ms / _MS_PER_S
        with core.acks.expect() as sequence:
            await core.messenger.ping(
                sequence,
                request.target,
                request.address,
            )
            return await core.acks.wait(sequence, timeout)
