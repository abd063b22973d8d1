"""Run the hops of one daemon for a measurement.

Prints the addresses for callers and for peers on one line.
"""

import argparse
import random

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.hops import (
    H11TargetClient,
    HopsContext,
    HopsSettings,
    make_frontend,
    make_target_dispatcher,
    register_hops,
)
from goldcrestwharf.limits import LimitSettings
from goldcrestwharf.membership import Member, Target
from goldcrestwharf.objects import ObjectSet, Route, Service, TargetGroup
from goldcrestwharf.peers import (
    Credentials,
    Handlers,
    Identity,
    PeerContext,
    PeerPool,
    PeerSettings,
    serve_peers,
)
from goldcrestwharf.quarantine import CrashGuard
from goldcrestwharf.replay import Snapshot, SnapshotHolder, Version
from goldcrestwharf.routing import RoutingSettings
from goldcrestwharf.servers import HttpServer
from goldcrestwharf.timers import SystemTimers

_GROUP = 'menu-pool'
_ANY_PORT = '127.0.0.1:0'


@attrs.frozen(kw_only=True)
class FixedView:
    """A membership view of the local daemon and the target's daemon."""

    vm: str
    known: tuple[Member, ...]

    def local_member(self) -> Member:
        """Return the local daemon's record."""
        return next(member for member in self.known if member.vm == self.vm)

    def members(self, zone: str | None = None) -> tuple[Member, ...]:
        """Return all members."""
        return self.known

    def targets(self, group: str) -> tuple[tuple[Member, Target], ...]:
        """Return all targets."""
        target_member = self.known[0]
        return tuple(
            (target_member, target) for target in target_member.targets
        )


def make_holder() -> SnapshotHolder:
    """Return a holder whose active snapshot has one route."""
    group = TargetGroup(slots=130, queue=1000)
    route = Route(service='menu', path_prefix='/menu')
    objects = ObjectSet(
        target_groups={_GROUP: group},
        services={'menu': Service(target_group=_GROUP)},
        routes={'menu-web': route},
    )
    version = Version(1, 1)
    holder = SnapshotHolder()
    holder.offer(Snapshot(version=version, digest='', objects=objects))
    return holder


def make_member(vm: str, address: str, *targets: Target) -> Member:
    """Return the record of a daemon."""
    return Member(
        vm=vm,
        zone='recife-a',
        address=address,
        incarnation=1,
        targets=targets,
    )


def make_peer_context(vm: str, handlers: Handlers) -> PeerContext:
    """Return the context of the daemon's peer connections."""
    identity = Identity(vm=vm, zone='recife-a', address='127.0.0.1:1')
    return PeerContext(
        credentials=Credentials(cluster='b', key=b'k', identity=identity),
        handlers=handlers,
        timers=SystemTimers(),
        cfg=PeerSettings(),
    )


def make_members(args: argparse.Namespace, address: str) -> tuple[Member, ...]:
    """Return the target's daemon, then the daemon for callers if any."""
    target = Target(name='t1', group=_GROUP, address=args.target, slots=130)
    target_member = make_member('far', args.far or address, target)
    return (
        (target_member, make_member('near', address))
        if args.far
        else (target_member,)
    )


def make_context(
    view: FixedView,
    peers: PeerPool,
    tg: TaskGroup,
) -> HopsContext:
    """Return the context of the hops."""
    timers = SystemTimers()
    return HopsContext(
        view=view,
        holder=make_holder(),
        peers=peers,
        client=H11TargetClient(timers=timers, cfg=HopsSettings()),
        guard=CrashGuard(
            cfg=LimitSettings(), clock=timers.now, rng=random.Random(1)
        ),
        claims=None,
        clock=timers.now,
        rng=random.Random(1),
        tg=tg,
        hops=HopsSettings(),
        limits=LimitSettings(),
        routing=RoutingSettings(),
    )


async def serve(args: argparse.Namespace) -> None:
    """Serve callers and peers until the process is terminated."""
    peer_context = make_peer_context(args.vm, Handlers())
    async with anyio.create_task_group() as tg:
        address = await tg.start(serve_peers, _ANY_PORT, peer_context)
        context = make_context(
            FixedView(vm=args.vm, known=make_members(args, address)),
            PeerPool(context=peer_context, tg=tg, rng=random.Random(1)),
            tg,
        )
        server = make_server(context, peer_context.handlers)
        print(await tg.start(server.run), address, flush=True)


def make_server(context: HopsContext, handlers: Handlers) -> HttpServer:
    """Register the peer handlers and return the server for callers."""
    target_dispatcher = make_target_dispatcher(context)
    register_hops(handlers, target_dispatcher)
    frontend = make_frontend(context, target_dispatcher)
    return HttpServer(app=frontend, address=_ANY_PORT)


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser()
    for name in ('--vm', '--target', '--far'):
        parser.add_argument(name, default='')
    args = parser.parse_args()
    anyio.run(serve, args)


if __name__ == '__main__':
    main()
