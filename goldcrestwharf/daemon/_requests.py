"""Join the parts of a daemon that carry requests."""

import attrs

from goldcrestwharf.daemon._configuration import Configuration
from goldcrestwharf.daemon._network import Basis, Network
from goldcrestwharf.distribution import CrashReportGossip
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
from goldcrestwharf.replay import SnapshotHolder


@attrs.frozen(kw_only=True)
class Requests:
    """Hold the parts that carry requests."""

    front: CallerFront
    target_side: TargetSide
    local_targets: LocalTargets
    guard: CrashGuard
    claims: Claims
    spreader: CrashReportGossip


def make_requests(
    basis: Basis,
    network: Network,
    configuration: Configuration,
) -> Requests:
    """Return the parts that carry requests, joined to the network."""
    claims = _make_claims(basis)
    context = _make_context(basis, network, configuration.holder, claims)
    target_side = make_target_side(context)
    register_hops(network.handlers, target_side)
    spreader = _make_spreader(basis, network, context.guard)
    spreader.register(network.handlers)
    return Requests(
        front=make_front(context, target_side),
        target_side=target_side,
        local_targets=LocalTargets(
            cfg=basis.cfg.endpoints,
            timers=basis.timers,
            publish=network.membership.set_targets,
        ),
        guard=context.guard,
        claims=claims,
        spreader=spreader,
    )


def _make_context(
    basis: Basis,
    network: Network,
    holder: SnapshotHolder,
    claims: Claims,
) -> HopsContext:
    cfg = basis.cfg
    return HopsContext(
        view=network.membership.view,
        holder=holder,
        peers=network.peers,
        client=H11TargetClient(timers=basis.timers, cfg=cfg.hops),
        guard=CrashGuard(
            cfg=cfg.limits,
            timers=basis.timers,
            rng=basis.rng,
        ),
        claims=claims,
        timers=basis.timers,
        rng=basis.rng,
        tg=basis.tg,
        hops=cfg.hops,
        limits=cfg.limits,
        routing=cfg.routing,
    )


def _make_claims(basis: Basis) -> Claims:
    return Claims(
        log=basis.log,
        cfg=basis.cfg.limits,
        timers=basis.timers,
        rng=basis.rng,
    )


def _make_spreader(
    basis: Basis,
    network: Network,
    guard: CrashGuard,
) -> CrashReportGossip:
    return CrashReportGossip(
        guard=guard,
        view=network.membership.view,
        peers=network.peers,
        timers=basis.timers,
        rng=basis.rng,
    )
