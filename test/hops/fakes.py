"""Fakes of the parts around the hops."""

import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.hops import (
    CallerFrontend,
    HopsContext,
    HopsSettings,
    TargetClient,
    TargetDispatcher,
    make_frontend,
    make_target_dispatcher,
)
from goldcrestwharf.limits import Claims, LimitSettings
from goldcrestwharf.membership import Member, Target, TargetState
from goldcrestwharf.objects import ObjectSet, Route, Service, TargetGroup
from goldcrestwharf.peers import Peers
from goldcrestwharf.quarantine import CrashGuard
from goldcrestwharf.replay import Snapshot, SnapshotHolder, Version
from goldcrestwharf.routing import RoutingSettings
from goldcrestwharf.timers import Timers

GROUP = 'menu-pool'


def make_objects(
    *,
    slots: int = 12,
    queue: int = 24,
    max_tries: int = 2,
    timeout_ms: int = 2000,
) -> ObjectSet:
    """Return a set with one service and a route to it for all methods."""
    return ObjectSet(
        target_groups={GROUP: TargetGroup(slots=slots, queue=queue)},
        services={
            'menu': Service(
                target_group=GROUP,
                timeout_ms=timeout_ms,
                max_tries=max_tries,
                retry_budget_percent=100,
            ),
        },
        routes={'menu-web': Route(service='menu', path_prefix='/menu')},
    )


def make_holder(objects: ObjectSet | None) -> SnapshotHolder:
    """Return a holder whose current snapshot has ``objects``."""
    holder = SnapshotHolder()
    if objects is not None:
        snapshot = Snapshot(
            version=Version(1, 1),
            digest='d',
            objects=objects,
        )
        holder.offer(snapshot)
    return holder


def make_member(
    vm: str,
    address: str,
    *targets: Target,
    zone: str = 'recife-a',
) -> Member:
    return Member(
        vm=vm,
        zone=zone,
        address=address,
        incarnation=1,
        targets=targets,
    )


def make_target(address: str, *, name: str = 't1', slots: int = 12) -> Target:
    return Target(name=name, group=GROUP, address=address, slots=slots)


@attrs.define(kw_only=True)
class FakeView:
    """A membership view with fixed members."""

    vm: str
    known: list[Member]

    def local_member(self) -> Member:
        return next(member for member in self.known if member.vm == self.vm)

    def members(self, zone: str | None = None) -> Sequence[Member]:
        return [one for one in self.known if zone in {None, one.zone}]

    def targets(self, group: str) -> Sequence[tuple[Member, Target]]:
        return [
            (member, target)
            for member in self.known
            for target in member.targets
            if target.group == group and target.state is TargetState.READY
        ]


@attrs.frozen(kw_only=True)
class Daemon:
    """The hops of one daemon."""

    front: CallerFrontend
    target_dispatcher: TargetDispatcher
    guard: CrashGuard


def make_daemon(
    *,
    view: FakeView,
    peers: Peers,
    client: TargetClient,
    timers: Timers,
    holder: SnapshotHolder,
    tg: TaskGroup,
    claims: Claims | None = None,
    cfg: HopsSettings | None = None,
) -> Daemon:
    """Build the hops of a daemon as the program does."""
    rng = random.Random(view.vm)
    limits = LimitSettings()
    context = HopsContext(
        view=view,
        holder=holder,
        peers=peers,
        client=client,
        guard=CrashGuard(cfg=limits, clock=timers.now, rng=rng),
        claims=claims,
        timers=timers,
        rng=rng,
        tg=tg,
        hops=cfg or HopsSettings(),
        limits=limits,
        routing=RoutingSettings(),
    )
    target_dispatcher = make_target_dispatcher(context)
    return Daemon(
        front=make_frontend(context, target_dispatcher),
        target_dispatcher=target_dispatcher,
        guard=context.guard,
    )


AsgiApp = Callable[..., Any]
