"""Test daemons with real sockets on the loopback interface."""

import random

import anyio
import pytest

from goldcrestwharf.membership import (
    MembershipContext,
    MembershipService,
    MembershipSettings,
    StaticSeeds,
    Target,
    open_udp,
)
from goldcrestwharf.peers import (
    Handlers,
    Identity,
    PeerPool,
    serve_peers,
)
from goldcrestwharf.timers import SystemTimers
from test.helper import LOOPBACK, SEED, find_ports, make_peer_context

CFG = MembershipSettings(
    period_ms=100,
    ack_timeout_ms=30,
    gossip_ms=20,
    sync_soon_ms=100,
    bridge_ms=100,
)


async def run_daemon(
    vm: str,
    seeds: tuple[str, ...],
    listeners: anyio.abc.TaskGroup,
    tg: anyio.abc.TaskGroup,
) -> MembershipService:
    handlers = Handlers()
    listening = make_peer_context(handlers=handlers)
    # An ephemeral port that is free for TCP may be taken for UDP.
    port = find_ports(1)[0]
    address = await listeners.start(serve_peers, f'127.0.0.1:{port}', listening)
    identity = Identity(vm=vm, zone='recife-a', address=address)
    context = make_peer_context(handlers=handlers, identity=identity)
    rng = random.Random(f'{SEED} {vm}')
    service = MembershipService(
        context=MembershipContext(
            credentials=context.credentials,
            incarnation=1,
            timers=SystemTimers(),
            rng=rng,
            cfg=CFG,
        ),
        datagrams=await open_udp(address),
        peers=PeerPool(context=context, tg=tg, rng=rng),
        seeds=StaticSeeds(addresses=seeds),
    )
    service.register(handlers)
    tg.start_soon(service.run)
    return service


async def test_daemons_find_targets_over_real_sockets() -> None:
    async with anyio.create_task_group() as listeners:
        async with anyio.create_task_group() as tg:
            first = await run_daemon('vm-1', (), listeners, tg)
            seeds = (first.view.local_member().address,)
            second = await run_daemon('vm-2', seeds, listeners, tg)
            third = await run_daemon('vm-3', seeds, listeners, tg)
            target = Target(name='a', group='pool', address='a:1', slots=1)
            third.set_targets([target])
            with anyio.fail_after(20):
                while not (
                    first.view.targets('pool') and second.view.members()
                ):
                    await first.view.changes.wait(first.view.changes.revision)
            assert {one.vm for one in first.view.members()} == {
                'vm-1',
                'vm-2',
                'vm-3',
            }
            tg.cancel_scope.cancel()
        # asyncio raises if a listener is cancelled as a connection arrives.
        await anyio.wait_all_tasks_blocked()
        listeners.cancel_scope.cancel()


@pytest.mark.parametrize(
    'address',
    ['', 'x', 'x:1', 'localhost:1', '127.0.0.1:x', '127.0.0.1:99999', ':1'],
)
async def test_datagram_to_an_invalid_address_is_dropped(address: str) -> None:
    datagrams = await open_udp(LOOPBACK)
    await datagrams.send(b'lost', address)
    await datagrams.send(b'found', datagrams.address())
    with anyio.fail_after(20):
        arrived = await datagrams.receive()
    assert arrived.packed == b'found'
