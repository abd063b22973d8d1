"""The components of a daemon that handle requests, and how they are made."""

import attrs

from goldcrestwharf.daemon._configuration import ConfigurationService
from goldcrestwharf.daemon._network import DaemonContext, Network
from goldcrestwharf.distribution import CrashReportGossip
from goldcrestwharf.endpoints import LocalTargets
from goldcrestwharf.hops import (
    CallerFrontend,
    H11TargetClient,
    HopsContext,
    TargetDispatcher,
    make_frontend,
    make_target_dispatcher,
    register_hops,
)
from goldcrestwharf.limits import Claims
from goldcrestwharf.quarantine import CrashGuard
from goldcrestwharf.replay import SnapshotHolder


@attrs.frozen(kw_only=True)
class RequestComponents:
    """The components of a daemon that handle requests.

    ``frontend`` serves callers and ``target_dispatcher`` runs requests on
    ``local_targets``, the targets of this VM. ``guard`` quarantines requests
    that crash targets; ``crash_report_gossip`` exchanges its reports with
    other daemons. ``claims`` let a request with an idempotency key
    run at most once.
    """

    frontend: CallerFrontend
    target_dispatcher: TargetDispatcher
    local_targets: LocalTargets
    guard: CrashGuard
    claims: Claims
    crash_report_gossip: CrashReportGossip


def make_request_components(
    context: DaemonContext,
    network: Network,
    configuration: ConfigurationService,
) -> RequestComponents:
    """Return the components, with their handlers of messages registered."""
    claims = _make_claims(context)
    hops_context = _make_hops_context(
        context, network, configuration.holder, claims
    )
    target_dispatcher = make_target_dispatcher(hops_context)
    register_hops(network.handlers, target_dispatcher)
    crash_report_gossip = _make_crash_report_gossip(
        context, network, hops_context.guard
    )
    crash_report_gossip.register(network.handlers)
    return RequestComponents(
        frontend=make_frontend(hops_context, target_dispatcher),
        target_dispatcher=target_dispatcher,
        local_targets=LocalTargets(
            cfg=context.cfg.endpoints,
            timers=context.timers,
            publish=network.membership.set_targets,
        ),
        guard=hops_context.guard,
        claims=claims,
        crash_report_gossip=crash_report_gossip,
    )


def _make_hops_context(
    context: DaemonContext,
    network: Network,
    holder: SnapshotHolder,
    claims: Claims,
) -> HopsContext:
    cfg = context.cfg
    return HopsContext(
        view=network.membership.view,
        holder=holder,
        peers=network.peers,
        client=H11TargetClient(timers=context.timers, cfg=cfg.hops),
        guard=CrashGuard(
            cfg=cfg.limits,
            clock=context.timers.now,
            rng=context.rng,
        ),
        claims=claims,
        timers=context.timers,
        rng=context.rng,
        tg=context.tg,
        hops=cfg.hops,
        limits=cfg.limits,
        routing=cfg.routing,
    )


def _make_claims(context: DaemonContext) -> Claims:
    return Claims(
        log=context.log,
        cfg=context.cfg.limits,
        timers=context.timers,
        rng=context.rng,
    )


def _make_crash_report_gossip(
    context: DaemonContext,
    network: Network,
    guard: CrashGuard,
) -> CrashReportGossip:
    return CrashReportGossip(
        guard=guard,
        view=network.membership.view,
        peers=network.peers,
        timers=context.timers,
        rng=context.rng,
    )
