"""Join the parts of a daemon that carry requests."""

import attrs

from goldcrestwharf.daemon._configuration import Configuration
from goldcrestwharf.daemon._network import Basis, Network
from goldcrestwharf.distribution import VerdictSpreader
from goldcrestwharf.endpoints import LocalTargets
from goldcrestwharf.hops import (
    CallerFront,
    H11TargetClient,
    HopsContext,
    TargetSide,
    make_front,
    make_target_side,
    register_hops,
)
from goldcrestwharf.limits import Claims, CrashGuard


@attrs.frozen(kw_only=True)
class Requests:
    """Hold the parts that carry requests."""

    front: CallerFront
    target_side: TargetSide
    local_targets: LocalTargets
    guard: CrashGuard
    claims: Claims
    spreader: VerdictSpreader


def make_requests(
    basis: Basis,
    network: Network,
    configuration: Configuration,
) -> Requests:
    """Return the parts that carry requests, joined to the network."""
    guard = CrashGuard(
        cfg=basis.cfg.limits,
        timers=basis.timers,
        rng=basis.rng,
    )
    claims = Claims(
        log=basis.log,
        cfg=basis.cfg.limits,
        timers=basis.timers,
        rng=basis.rng,
    )
    context = HopsContext(
        view=network.membership.view,
        holder=configuration.holder,
        peers=network.peers,
        client=H11TargetClient(timers=basis.timers, cfg=basis.cfg.hops),
        guard=guard,
        claims=claims,
        timers=basis.timers,
        rng=basis.rng,
        tg=basis.tg,
        hops=basis.cfg.hops,
        limits=basis.cfg.limits,
        routing=basis.cfg.routing,
    )
    spreader = VerdictSpreader(
        guard=guard,
        view=network.membership.view,
        peers=network.peers,
        timers=basis.timers,
        rng=basis.rng,
    )
    spreader.register(network.handlers)
    target_side = make_target_side(context)
    register_hops(network.handlers, target_side)
    return Requests(
        front=make_front(context, target_side),
        target_side=target_side,
        local_targets=LocalTargets(
            cfg=basis.cfg.endpoints,
            timers=basis.timers,
            publish=network.membership.set_targets,
        ),
        guard=guard,
        claims=claims,
        spreader=spreader,
    )
