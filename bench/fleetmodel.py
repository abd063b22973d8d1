"""Model callers, daemons and targets around the product's decisions.

Requests arrive at each daemon as a Poisson process. A target runs requests
in its slots, with exponentially distributed service times. A product daemon
uses the product's chooser, gate and retry budget; a naive daemon chooses the
targets round-robin, queues without limit and always retries.
"""

import itertools
import random
from collections.abc import Sequence
from types import MappingProxyType

import anyio
import attrs
from anyio.abc import TaskGroup

from bench.virtualtime import LoopTimers
from goldcrestwharf import limits, routing
from goldcrestwharf.membership import Member, Target
from goldcrestwharf.objects import TargetGroup

GROUP_NAME = 'pool'
GROUP = TargetGroup(slots=6, queue=12)
ZONES = ('recife-a', 'recife-b', 'fortaleza-a', 'salvador-a')
TARGETS_PER_ZONE = 3
DAEMONS_PER_ZONE = 2
SERVICE_TIME_S = 0.1
TIMEOUT_S = 1
CONNECT_TIMEOUT_S = 0.2
MAX_ATTEMPTS = 3
_ATTEMPT_OUTCOMES = MappingProxyType(
    {
        routing.OutcomeKind.REFUSED: limits.AttemptOutcome.NOT_RUN,
        routing.OutcomeKind.NOT_REACHED: limits.AttemptOutcome.NOT_SENT,
    }
)
CAPACITY = len(ZONES) * TARGETS_PER_ZONE * GROUP.slots / SERVICE_TIME_S


@attrs.define(kw_only=True)
class Tally:
    """Counters of request outcomes and of attempts at targets."""

    started: int = 0
    offered: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    latencies: list[float] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class ModelTarget:
    """A target whose faults can be changed while the model runs."""

    member: Member
    rng: random.Random
    gate: limits.SlotGate
    slots: anyio.Semaphore = attrs.field(
        factory=lambda: anyio.Semaphore(GROUP.slots),
    )
    slowdown_factor: float = 1
    is_failing: bool = False
    is_unreachable: bool = False

    @property
    def target(self) -> Target:
        """The announced target."""
        return self.member.targets[0]

    @property
    def key(self) -> routing.TargetKey:
        """The target's key in the mesh."""
        return routing.TargetKey(vm=self.member.vm, target=self.target.name)

    async def serve(self) -> bool:
        """Run one request and return whether it succeeded."""
        if self.is_failing:
            return False
        seconds = self.rng.expovariate(1 / SERVICE_TIME_S)
        await anyio.sleep(seconds * self.slowdown_factor)
        return True


@attrs.define(kw_only=True)
class ModelView:
    """A membership view; a lost zone is removed once it is detected."""

    listing: Sequence[tuple[Member, Target]]

    def local_member(self) -> Member:
        """Return any member."""
        return self.listing[0][0]

    def members(self, zone: str | None = None) -> Sequence[Member]:
        """Return all members."""
        return [member for member, _ in self.listing]

    def targets(self, group: str) -> Sequence[tuple[Member, Target]]:
        """Return all targets."""
        return self.listing


@attrs.define(kw_only=True)
class Fleet:
    """The targets, the membership view and the counters of one run."""

    seed: int
    background: TaskGroup
    timers: LoopTimers = attrs.field(factory=LoopTimers)
    tally: Tally = attrs.field(factory=Tally)
    targets: list[ModelTarget] = attrs.field(init=False)
    view: ModelView = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the targets of all zones."""
        self.targets = [
            self._make_target(zone, number)
            for zone in ZONES
            for number in range(TARGETS_PER_ZONE)
        ]
        self.view = ModelView(listing=self.list_targets())

    def list_targets(self, lost: str = '') -> Sequence[tuple[Member, Target]]:
        """Return all targets except those in the zone ``lost``."""
        return tuple(
            (one.member, one.target)
            for one in self.targets
            if one.member.zone != lost
        )

    def find(self, key: routing.TargetKey) -> ModelTarget:
        """Return the target with the key ``key``."""
        return next(one for one in self.targets if one.key == key)

    def _make_target(self, zone: str, number: int) -> ModelTarget:
        name = f'{zone}-{number}'
        target = Target(
            name=name,
            group=GROUP_NAME,
            address='127.0.0.1:1',
            slots=GROUP.slots,
        )
        member = Member(
            vm=name,
            zone=zone,
            address='127.0.0.1:1',
            incarnation=1,
            targets=(target,),
        )
        gate = limits.SlotGate(
            slots=GROUP.slots,
            queue=GROUP.queue,
            timers=self.timers,
        )
        rng = random.Random(f'{self.seed}-{name}')
        return ModelTarget(member=member, rng=rng, gate=gate)


class NaiveDaemon:
    """A daemon that chooses targets round-robin and retries every failure."""

    def __init__(self, *, fleet: Fleet, zone: str) -> None:
        """Send requests to the targets of ``fleet``."""
        self._fleet = fleet
        self._positions = itertools.count()
        self.zone = zone

    async def forward(self) -> str:
        """Forward one request and return its outcome."""
        attempts = MAX_ATTEMPTS
        while attempts:
            attempts -= 1
            if await self._run_next_attempt():
                return 'answered'
        return 'failed'

    async def _run_next_attempt(self) -> bool:
        listing = self._fleet.view.listing
        member, _ = listing[next(self._positions) % len(listing)]
        target = next(
            one for one in self._fleet.targets if one.member is member
        )
        self._fleet.tally.attempts += 1
        if target.is_unreachable:
            await anyio.sleep(CONNECT_TIMEOUT_S)
            return False
        is_successful = False
        with anyio.move_on_after(TIMEOUT_S) as scope:
            is_successful = await self._run_detached(target)
        return is_successful and not scope.cancelled_caught

    async def _run_detached(self, target: ModelTarget) -> bool:
        """Run a request that continues after its caller has timed out."""
        detached_run = _DetachedRun(target=target)
        self._fleet.background.start_soon(detached_run.run)
        await detached_run.done.wait()
        return detached_run.is_successful


@attrs.define(kw_only=True)
class _DetachedRun:
    target: ModelTarget
    done: anyio.Event = attrs.field(factory=anyio.Event)
    is_successful: bool = False

    async def run(self) -> None:
        async with self.target.slots:
            self.is_successful = await self.target.serve()
        self.done.set()


class ProductDaemon:
    """A daemon that uses the product's choice, admission and retries."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        zone: str,
        number: int,
        cfg: routing.RoutingSettings,
    ) -> None:
        """Send requests to the targets of ``fleet``."""
        self.zone = zone
        self._fleet = fleet
        self.chooser = routing.TargetChooser(
            view=fleet.view,
            zone=zone,
            timers=fleet.timers,
            rng=random.Random(f'{fleet.seed}-{zone}-{number}'),
            cfg=cfg,
        )
        self._budget = limits.RetryBudget(percent=10, timers=fleet.timers)
        self._policy = limits.RetryPolicy(budget=self._budget)

    async def forward(self) -> str:
        """Forward one request and return its outcome."""
        self._budget.record_first_attempt()
        state = _RequestState(
            deadline=limits.Deadline(
                timers=self._fleet.timers,
                seconds=TIMEOUT_S,
            ),
        )
        while True:
            state.attempts += 1
            kind = await self._run_attempt(state)
            if kind is routing.OutcomeKind.ANSWERED:
                return 'answered'
            is_refused = kind is routing.OutcomeKind.REFUSED
            outcome = _ATTEMPT_OUTCOMES.get(kind, limits.AttemptOutcome.UNKNOWN)
            decision = self._policy.decide(state.describe(outcome))
            if isinstance(decision, limits.Stop):
                return 'refused' if is_refused else 'failed'

    async def _run_attempt(self, state: '_RequestState') -> routing.OutcomeKind:
        self._fleet.tally.attempts += 1
        chosen = self.chooser.choose(
            GROUP_NAME,
            GROUP,
            exclude=frozenset(state.tried_keys),
        )
        if chosen is None:
            return routing.OutcomeKind.REFUSED
        state.tried_keys.append(chosen.key)
        target = self._fleet.find(chosen.key)
        kind = await _send_request(target, state.deadline, self.zone)
        self.chooser.record_outcome(
            routing.TargetOutcome(
                key=chosen.key,
                kind=kind,
                load=None if target.is_unreachable else target.gate.load(),
            ),
        )
        return kind


@attrs.define(kw_only=True)
class _RequestState:
    deadline: limits.Deadline
    attempts: int = 0
    tried_keys: list[routing.TargetKey] = attrs.field(factory=list)

    def describe(self, outcome: limits.AttemptOutcome) -> limits.Attempt:
        return limits.Attempt(
            outcome=outcome,
            attempts=self.attempts,
            max_attempts=MAX_ATTEMPTS,
            is_repeatable=True,
            remaining=self.deadline.remaining(),
        )


async def _send_request(
    target: ModelTarget,
    deadline: limits.Deadline,
    caller: str,
) -> routing.OutcomeKind:
    if target.is_unreachable:
        await anyio.sleep(CONNECT_TIMEOUT_S)
        return routing.OutcomeKind.NOT_REACHED
    refusal = await target.gate.admit(
        remaining=deadline.remaining(),
        caller=caller,
    )
    if refusal is not None:
        return routing.OutcomeKind.REFUSED
    is_successful = False
    started_at = anyio.current_time()
    with anyio.move_on_after(deadline.remaining()) as scope:
        is_successful = await target.serve()
    target.gate.release(service_time=anyio.current_time() - started_at)
    if scope.cancelled_caught:
        return routing.OutcomeKind.TIMED_OUT
    if is_successful:
        return routing.OutcomeKind.ANSWERED
    return routing.OutcomeKind.FAILED
