"""Model callers, daemons and targets around the real decisions.

Each daemon enters requests of its zone by a Poisson process. A target runs
requests in its slots for exponentially distributed times. The decided kind
of daemon uses the product's chooser, gate and retry budget; the naive kind
goes round the targets in turn, queues without bound and retries always.
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
SERVICE_SECONDS = 0.1
TIMEOUT_SECONDS = 1
CONNECT_SECONDS = 0.2
MAX_TRIES = 3
_OUTCOMES = MappingProxyType(
    {
        routing.OutcomeKind.REFUSED: limits.AttemptOutcome.NOT_RUN,
        routing.OutcomeKind.NOT_REACHED: limits.AttemptOutcome.NOT_SENT,
    }
)
CAPACITY = len(ZONES) * TARGETS_PER_ZONE * GROUP.slots / SERVICE_SECONDS


@attrs.define(kw_only=True)
class Tally:
    """Count how requests ended and how often targets were tried."""

    started: int = 0
    offered: int = 0
    refused: int = 0
    failed: int = 0
    tries: int = 0
    latencies: list[float] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class ModelTarget:
    """Run requests; the faults are changed while the model runs."""

    member: Member
    rng: random.Random
    gate: limits.SlotGate
    slots: anyio.Semaphore = attrs.field(
        factory=lambda: anyio.Semaphore(GROUP.slots),
    )
    slowness: float = 1
    is_failing: bool = False
    is_cut: bool = False

    @property
    def target(self) -> Target:
        """Return the announced target."""
        return self.member.targets[0]

    @property
    def key(self) -> routing.TargetKey:
        """Return the target's name in the mesh."""
        return routing.TargetKey(vm=self.member.vm, target=self.target.name)

    async def serve(self) -> bool:
        """Run one request; tell whether its answer is good."""
        if self.is_failing:
            return False
        seconds = self.rng.expovariate(1 / SERVICE_SECONDS)
        await anyio.sleep(seconds * self.slowness)
        return True


@attrs.define(kw_only=True)
class ModelView:
    """List the targets; a lost zone vanishes once it is detected."""

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
    """Hold the targets, the view and the tally of one run."""

    seed: int
    background: TaskGroup
    timers: LoopTimers = attrs.field(factory=LoopTimers)
    tally: Tally = attrs.field(factory=Tally)
    targets: list[ModelTarget] = attrs.field(init=False)
    view: ModelView = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the targets of all zones."""
        self.targets = [
            self._make_target(zone, number)
            for zone in ZONES
            for number in range(TARGETS_PER_ZONE)
        ]
        self.view = ModelView(listing=self.list_targets())

    def list_targets(self, lost: str = '') -> Sequence[tuple[Member, Target]]:
        """Return what the membership tells without the zone ``lost``."""
        return tuple(
            (one.member, one.target)
            for one in self.targets
            if one.member.zone != lost
        )

    def find(self, key: routing.TargetKey) -> ModelTarget:
        """Return the target called ``key``."""
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
    """Go round the targets, without limits, and retry whatever failed."""

    def __init__(self, *, fleet: Fleet, zone: str) -> None:
        """Send requests to the targets of ``fleet``."""
        self._fleet = fleet
        self._turns = itertools.count()
        self.zone = zone

    async def forward(self) -> str:
        """Return how one request ended."""
        tries = MAX_TRIES
        while tries:
            tries -= 1
            if await self._try_next():
                return 'answered'
        return 'failed'

    async def _try_next(self) -> bool:
        listing = self._fleet.view.listing
        member, _ = listing[next(self._turns) % len(listing)]
        target = next(
            one for one in self._fleet.targets if one.member is member
        )
        self._fleet.tally.tries += 1
        if target.is_cut:
            await anyio.sleep(CONNECT_SECONDS)
            return False
        is_good = False
        with anyio.move_on_after(TIMEOUT_SECONDS) as scope:
            is_good = await self._run_detached(target)
        return is_good and not scope.cancelled_caught

    async def _run_detached(self, target: ModelTarget) -> bool:
        """Wait for a target that goes on when its caller has given up."""
        job = _Job(target=target)
        self._fleet.background.start_soon(job.run)
        await job.done.wait()
        return job.is_good


@attrs.define(kw_only=True)
class _Job:
    target: ModelTarget
    done: anyio.Event = attrs.field(factory=anyio.Event)
    is_good: bool = False

    async def run(self) -> None:
        async with self.target.slots:
            self.is_good = await self.target.serve()
        self.done.set()


class DecidedDaemon:
    """Choose, admit and retry by the product's decisions."""

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
        """Return how one request ended."""
        self._budget.record_first_attempt()
        ticket = _Ticket(
            deadline=limits.Deadline(
                timers=self._fleet.timers,
                seconds=TIMEOUT_SECONDS,
            ),
        )
        while True:
            ticket.tries += 1
            kind = await self._try_once(ticket)
            if kind is routing.OutcomeKind.ANSWERED:
                return 'answered'
            is_refused = kind is routing.OutcomeKind.REFUSED
            outcome = _OUTCOMES.get(kind, limits.AttemptOutcome.UNKNOWN)
            decided = self._policy.decide(ticket.describe(outcome))
            if isinstance(decided, limits.Stop):
                return 'refused' if is_refused else 'failed'

    async def _try_once(self, ticket: '_Ticket') -> routing.OutcomeKind:
        self._fleet.tally.tries += 1
        chosen = self.chooser.choose(
            GROUP_NAME,
            GROUP,
            exclude=frozenset(ticket.tried),
        )
        if chosen is None:
            return routing.OutcomeKind.REFUSED
        ticket.tried.append(chosen.key)
        target = self._fleet.find(chosen.key)
        kind = await _exchange(target, ticket.deadline, self.zone)
        self.chooser.record_outcome(
            routing.TargetOutcome(
                key=chosen.key,
                kind=kind,
                load=None if target.is_cut else target.gate.load(),
            ),
        )
        return kind


@attrs.define(kw_only=True)
class _Ticket:
    deadline: limits.Deadline
    tries: int = 0
    tried: list[routing.TargetKey] = attrs.field(factory=list)

    def describe(self, outcome: limits.AttemptOutcome) -> limits.Attempt:
        return limits.Attempt(
            outcome=outcome,
            attempts=self.tries,
            max_attempts=MAX_TRIES,
            is_repeatable=True,
            remaining=self.deadline.remaining(),
        )


async def _exchange(
    target: ModelTarget,
    deadline: limits.Deadline,
    caller: str,
) -> routing.OutcomeKind:
    if target.is_cut:
        await anyio.sleep(CONNECT_SECONDS)
        return routing.OutcomeKind.NOT_REACHED
    refusal = await target.gate.admit(
        remaining=deadline.remaining(),
        caller=caller,
    )
    if refusal is not None:
        return routing.OutcomeKind.REFUSED
    is_good = False
    started_at = anyio.current_time()
    with anyio.move_on_after(deadline.remaining()) as scope:
        is_good = await target.serve()
    target.gate.release(service_time=anyio.current_time() - started_at)
    if scope.cancelled_caught:
        return routing.OutcomeKind.TIMED_OUT
    if is_good:
        return routing.OutcomeKind.ANSWERED
    return routing.OutcomeKind.FAILED
