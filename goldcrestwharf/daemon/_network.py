"""Connections of a daemon to other daemons."""

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
class DaemonContext:
    """Settings and services that all components of a daemon share."""

    cfg: DaemonSettings
    timers: Timers
    rng: random.Random
    log: Log
    tg: TaskGroup


@attrs.frozen(kw_only=True)
class Network:
    """Streams to other daemons, and the membership of the mesh."""

    context: PeerContext
    handlers: Handlers
    peers: PeerPool
    membership: MembershipService


async def open_network(context: DaemonContext) -> Network:
    """Return the network of a daemon; the peer listener isn't started yet."""
    handlers = Handlers()
    peer_context = _make_peer_context(context, handlers)
    peers = PeerPool(context=peer_context, tg=context.tg, rng=context.rng)
    datagrams = await open_udp(context.cfg.peer_address)
    membership = MembershipService(
        context=MembershipContext(
            credentials=peer_context.credentials,
            incarnation=round(time.time() * _MS_PER_S),
            timers=context.timers,
            rng=context.rng,
            cfg=context.cfg.membership,
            log=context.log,
        ),
        datagrams=datagrams,
        peers=peers,
        seeds=_make_seeds(context),
    )
    return Network(
        context=peer_context,
        handlers=handlers,
        peers=peers,
        membership=membership,
    )


def _make_peer_context(
    context: DaemonContext, handlers: Handlers
) -> PeerContext:
    cfg = context.cfg
    identity = Identity(vm=cfg.vm, zone=cfg.zone, address=cfg.peer_address)
    return PeerContext(
        credentials=Credentials(
            cluster=cfg.cluster,
            key=cfg.cluster_key.encode(),
            identity=identity,
        ),
        handlers=handlers,
        timers=context.timers,
        cfg=cfg.peers,
    )


def _make_seeds(context: DaemonContext) -> CombinedSeeds:
    cfg = context.cfg
    return CombinedSeeds(
        sources=(
            StaticSeeds(addresses=cfg.seeds),
            BeaconSeeds(log=context.log, cluster=cfg.cluster),
        ),
    )
