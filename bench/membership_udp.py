"""Measure the processor time of membership over loopback sockets.

All daemons of one size share a process and a thread. The results include
probes, synchronizations and the heartbeats of their peer connections.
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
_SETTLE_TIME_S = 5
_DURATION_S = 8


async def start(number: int, seed: str, tg: TaskGroup) -> MembershipService:
    """Start one daemon and return its membership service."""
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
    """Return the membership service of a daemon that joins via ``seed``."""
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
    """Print the results of ``size`` daemons."""
    async with anyio.create_task_group() as tg:
        first = await start(0, '', tg)
        seed = first.view.local_member().address
        services = [await start(one, seed, tg) for one in range(1, size)]
        await anyio.sleep(_SETTLE_TIME_S)
        await print_measurements(services)
        tg.cancel_scope.cancel()


async def print_measurements(services: list[MembershipService]) -> None:
    """Measure the running daemons and print the results."""
    size = len(services) + 1
    cpu_s = time.process_time()
    await anyio.sleep(_DURATION_S)
    cpu_s = time.process_time() - cpu_s
    measurements = {
        'bench': 'membership_udp',
        'size': size,
        'fewest_known': min(len(one.view.members()) for one in services),
        'core_percent_per_member': round(100 * cpu_s / _DURATION_S / size, 3),
    }
    print(json.dumps(measurements), flush=True)


def main() -> None:
    """Print one line for each size."""
    logging.disable(logging.CRITICAL)
    for size in _SIZES:
        anyio.run(measure, size)


if __name__ == '__main__':
    main()
