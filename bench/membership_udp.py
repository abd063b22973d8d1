"""Measure what membership costs over real sockets on the loopback.

All daemons of one size share a process and a thread; the figures hold
probes, comparisons and the heartbeats of the streams for comparisons.
"""

import json
import logging
import random
import time

import anyio
from anyio.abc import TaskGroup

from goldcrestwharf.membership import (
    MembershipContext,
    MembershipService,
    MembershipSettings,
    StaticSeeds,
    open_udp,
)
from goldcrestwharf.peers import (
    Handlers,
    Identity,
    PeerContext,
    PeerPool,
    serve_peers,
)
from goldcrestwharf.timers import SystemTimers
from test.helper import LOOPBACK, make_peer_context

_SIZES = (10, 20, 40)
_SETTLE_S = 5
_SECONDS = 8


async def start(number: int, seed: str, tg: TaskGroup) -> MembershipService:
    """Start one daemon and return its membership."""
    handlers = Handlers()
    context = make_peer_context(handlers=handlers)
    address = await tg.start(serve_peers, LOOPBACK, context)
    identity = Identity(vm=f'vm-{number}', zone='recife-a', address=address)
    context = make_peer_context(handlers=handlers, identity=identity)
    service = await make_service(context, seed, tg)
    service.register(handlers)
    tg.start_soon(service.run)
    return service


async def make_service(
    context: PeerContext,
    seed: str,
    tg: TaskGroup,
) -> MembershipService:
    """Return the membership of a daemon that joins through ``seed``."""
    identity = context.credentials.identity
    rng = random.Random(identity.vm)
    return MembershipService(
        context=MembershipContext(
            credentials=context.credentials,
            incarnation=1,
            timers=SystemTimers(),
            rng=rng,
            cfg=MembershipSettings(),
        ),
        datagrams=await open_udp(identity.address),
        peers=PeerPool(context=context, tg=tg, rng=rng),
        seeds=StaticSeeds(addresses=(seed,) if seed else ()),
    )


async def measure(size: int) -> None:
    """Print the figures of ``size`` daemons."""
    async with anyio.create_task_group() as tg:
        first = await start(0, '', tg)
        seed = first.view.local_member().address
        services = [await start(one, seed, tg) for one in range(1, size)]
        await anyio.sleep(_SETTLE_S)
        await print_figures(services)
        tg.cancel_scope.cancel()


async def print_figures(services: list[MembershipService]) -> None:
    """Measure for some seconds and print the figures."""
    size = len(services) + 1
    spent = time.process_time()
    await anyio.sleep(_SECONDS)
    spent = time.process_time() - spent
    figures = {
        'bench': 'membership_udp',
        'size': size,
        'fewest_known': min(len(one.view.members()) for one in services),
        'core_percent_per_member': round(100 * spent / _SECONDS / size, 3),
    }
    print(json.dumps(figures), flush=True)


def main() -> None:
    """Print one line for each size."""
    logging.disable(logging.CRITICAL)
    for size in _SIZES:
        anyio.run(measure, size)


if __name__ == '__main__':
    main()
