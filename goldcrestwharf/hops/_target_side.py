"""Run requests on the targets of this daemon's own VM.

The target's own daemon alone decides whether a request is dispatched. What
it refuses here has not run and never will.
"""

import logging

from goldcrestwharf.hops._in_flight import InFlight
from goldcrestwharf.hops._messages import (
    HopOutcome,
    HopRefusal,
    HopRequest,
    RefusalReason,
)
from goldcrestwharf.hops._target_client import (
    TargetClient,
)
from goldcrestwharf.hops._target_run import TargetRun
from goldcrestwharf.limits import SlotGate
from goldcrestwharf.membership import MembershipView, Target, TargetState
from goldcrestwharf.replay import Holder
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


class TargetSide:
    """Admit requests to the targets of this VM and run them.

    ``in_flight`` counts the requests that were taken and not yet answered.
    """

    def __init__(
        self,
        *,
        view: MembershipView,
        holder: Holder,
        client: TargetClient,
        timers: Timers,
    ) -> None:
        """Serve the targets that ``view`` says run on this VM."""
        self.in_flight = InFlight()
        self._view = view
        self._holder = holder
        self._client = client
        self._timers = timers
        self._gates: dict[str, SlotGate] = {}

    async def answer(self, req: HopRequest) -> HopOutcome:
        """Run ``req`` on its target unless it is refused."""
        target = self._find_target(req)
        if target is None:
            return HopRefusal(reason=RefusalReason.TARGET_UNKNOWN)
        if self.in_flight.is_draining or target.state is TargetState.LEAVING:
            return HopRefusal(reason=RefusalReason.LEAVING)
        with self.in_flight.count():
            return await self._run_limited(req, target)

    async def drain(self) -> None:
        """Refuse new requests and wait until those taken are answered."""
        await self.in_flight.drain()
        await self._client.close()

    async def _run_limited(self, req: HopRequest, target: Target) -> HopOutcome:
        gate = self._gate_of(target)
        run = TargetRun(
            req=req,
            target=target,
            gate=gate,
            client=self._client,
            expires_at=self._timers.now() + req.remaining_ms / _MS_PER_S,
            timers=self._timers,
        )
        with self._timers.limit(req.remaining_ms / _MS_PER_S):
            return await run.execute()
        return run.give_up()

    def _find_target(self, req: HopRequest) -> Target | None:
        for target in self._view.own().targets:
            if target.name == req.target and target.group == req.group:
                return target
        return None

    def _gate_of(self, target: Target) -> SlotGate:
        gate = self._gates.get(target.name)
        if gate is None or gate.slots != target.slots:
            gate = SlotGate(slots=target.slots, queue=self._queue_of(target))
            self._gates[target.name] = gate
        return gate

    def _queue_of(self, target: Target) -> int:
        snapshot = self._holder.snapshot
        group = snapshot and snapshot.objects.target_groups.get(target.group)
        return group.queue if group else 0
