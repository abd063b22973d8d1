"""Run the hops of one daemon for a measurement.

Prints the address for callers and the address for peers on one line.
"""

import argparse

import anyio
import attrs

from bench.mesh_loop import make_rng, run_with_loop
from goldcrestwharf.hops import (
    H11TargetClient,
    HopsContext,
    HopsSettings,
    make_front,
    make_target_side,
    register_hops,
)
from goldcrestwharf.limits import CrashGuard, LimitSettings
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
from goldcrestwharf.replay import Holder, Snapshot, Version
from goldcrestwharf.routing import RoutingSettings
from goldcrestwharf.servers import HttpServer
from goldcrestwharf.timers import SystemTimers

_GROUP = 'menu-pool'
_ANY_PORT = '127.0.0.1:0'


@attrs.frozen(kw_only=True)
class FixedView:
    """Know this daemon and the one beside the target."""

    vm: str
    known: tuple[Member, ...]

    def own(self) -> Member:
        """Return this daemon's record."""
        return next(member for member in self.known if member.vm == self.vm)

    def members(self, zone: str | None = None) -> tuple[Member, ...]:
        """Return all members."""
        return self.known

    def targets(self, group: str) -> tuple[tuple[Member, Target], ...]:
        """Return all targets."""
        return tuple(
            (member, target)
            for member in self.known
            for target in member.targets
        )


def make_holder() -> Holder:
    """Return a holder that runs one route."""
    objects = ObjectSet(
        target_groups={_GROUP: TargetGroup(slots=130, queue=1000)},
        services={'menu': Service(target_group=_GROUP)},
        routes={'menu-web': Route(service='menu', path_prefix='/menu')},
    )
    holder = Holder()
    holder.offer(Snapshot(version=Version(1, 1), digest='', objects=objects))
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
    """Return what the daemon's streams need."""
    identity = Identity(vm=vm, zone='recife-a', address='127.0.0.1:1')
    return PeerContext(
        credentials=Credentials(cluster='b', key=b'k', identity=identity),
        handlers=handlers,
        timers=SystemTimers(),
        cfg=PeerSettings(),
    )


async def serve(args: argparse.Namespace) -> None:
    """Serve callers and peers until the process is ended."""
    handlers = Handlers()
    peer_context = make_peer_context(args.vm, handlers)
    async with anyio.create_task_group() as tg:
        address = await tg.start(serve_peers, _ANY_PORT, peer_context)
        target = Target(
            name='t1',
            group=_GROUP,
            address=args.target,
            slots=130,
        )
        members = [make_member('far', args.far or address, target)]
        if args.vm == 'near':
            members.append(make_member('near', address))
        context = HopsContext(
            view=FixedView(vm=args.vm, known=tuple(members)),
            holder=make_holder(),
            peers=PeerPool(context=peer_context, tg=tg, rng=make_rng()),
            client=H11TargetClient(
                timers=SystemTimers(),
                cfg=HopsSettings(),
            ),
            guard=CrashGuard(
                cfg=LimitSettings(),
                timers=SystemTimers(),
                rng=make_rng(),
            ),
            claims=None,
            timers=SystemTimers(),
            rng=make_rng(),
            tg=tg,
            hops=HopsSettings(),
            limits=LimitSettings(),
            routing=RoutingSettings(),
        )
        target_side = make_target_side(context)
        register_hops(handlers, target_side)
        front = make_front(context, target_side)
        server = HttpServer(app=front, address=_ANY_PORT)
        print(await tg.start(server.run), address, flush=True)


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--vm', choices=('near', 'far'), required=True)
    parser.add_argument('--target', required=True)
    parser.add_argument('--far', default='')
    parser.add_argument('--loop', default='asyncio')
    args = parser.parse_args()
    run_with_loop(args.loop, serve, args)


if __name__ == '__main__':
    main()
