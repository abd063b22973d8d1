"""Open what a daemon speaks to other daemons and to the platform with."""

import random
import time

import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.log import Log
from goldcrestwharf.membership import (
    BeaconSeeds,
    CombinedSeeds,
    MembershipContext,
    MembershipService,
    StaticSeeds,
    open_udp,
)
from goldcrestwharf.peers import (
    Credentials,
    Handlers,
    Identity,
    PeerContext,
    PeerPool,
)
from goldcrestwharf.settings import DaemonSettings
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class Basis:
    """Hold what every part of a daemon is made of."""

    cfg: DaemonSettings
    timers: Timers
    rng: random.Random
    log: Log
    tg: TaskGroup


@attrs.frozen(kw_only=True)
class Network:
    """Hold the streams to other daemons and what is known of them."""

    context: PeerContext
    handlers: Handlers
    peers: PeerPool
    membership: MembershipService


async def open_network(basis: Basis) -> Network:
    """Return the network of a daemon, not yet listening."""
    handlers = Handlers()
    context = _make_context(basis, handlers)
    peers = PeerPool(context=context, tg=basis.tg, rng=basis.rng)
    datagrams = await open_udp(basis.cfg.peer_address)
    membership = MembershipService(
        context=MembershipContext(
            credentials=context.credentials,
            incarnation=round(time.time() * _MS_PER_S),
            timers=basis.timers,
            rng=basis.rng,
            cfg=basis.cfg.membership,
            log=basis.log,
        ),
        datagrams=datagrams,
        peers=peers,
        seeds=_make_seeds(basis),
    )
    return Network(
        context=context,
        handlers=handlers,
        peers=peers,
        membership=membership,
    )


def _make_context(basis: Basis, handlers: Handlers) -> PeerContext:
    cfg = basis.cfg
    identity = Identity(vm=cfg.vm, zone=cfg.zone, address=cfg.peer_address)
    return PeerContext(
        credentials=Credentials(
            cluster=cfg.cluster,
            key=cfg.cluster_key.encode(),
            identity=identity,
        ),
        handlers=handlers,
        timers=basis.timers,
        cfg=cfg.peers,
    )


def _make_seeds(basis: Basis) -> CombinedSeeds:
    cfg = basis.cfg
    return CombinedSeeds(
        sources=(
            StaticSeeds(addresses=cfg.seeds),
            BeaconSeeds(log=basis.log, cluster=cfg.cluster),
        ),
    )
