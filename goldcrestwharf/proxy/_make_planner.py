"""Construction of the component that plans callers' requests."""

from goldcrestwharf.placement import WeightedSplit
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._planner import Planner, PlannerContext
from goldcrestwharf.workspaces import Authenticator


def make_planner(core: Core) -> Planner:
    """Create the component that plans requests by the configuration."""
    host = core.cfg.target.rpartition(':')[0]
    return Planner(
        context=PlannerContext(
            holder=core.holder,
            split=WeightedSplit(rng=core.rng),
            names=core.cfg.names,
            caller_service=core.cfg.service,
            authenticator=Authenticator(target_host=host),
        ),
    )
