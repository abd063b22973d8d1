"""Components of a daemon, and the application of its local listener."""

import attrs
from starlette.applications import Starlette

from goldcrestwharf.admin import AdminContext, make_admin_routes
from goldcrestwharf.daemon._configuration import ConfigurationService
from goldcrestwharf.daemon._network import DaemonContext, Network
from goldcrestwharf.daemon._requests import RequestComponents
from goldcrestwharf.endpoints import AnnouncementParser, make_routes
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.publishing import Publisher
from goldcrestwharf.replay import SnapshotHolder


@attrs.frozen(kw_only=True)
class ActiveGroups:
    """Target groups of the active configuration."""

    holder: SnapshotHolder

    def find_group(self, name: str) -> TargetGroup | None:
        """Return the group ``name``, ``None`` if there is none."""
        snapshot = self.holder.snapshot
        if snapshot is None:
            return None
        return snapshot.objects.target_groups.get(name)


@attrs.frozen(kw_only=True)
class DaemonComponents:
    """Components of a running daemon."""

    context: DaemonContext
    network: Network
    configuration: ConfigurationService
    requests: RequestComponents

    def make_app(self) -> Starlette:
        """Return the application of the local listener."""
        context = self.context
        host = context.cfg.peer_address.rsplit(':', 1)[0]
        announcement_routes = make_routes(
            local=self.requests.local_targets,
            parser=AnnouncementParser(host=host, cfg=context.cfg.endpoints),
            groups=ActiveGroups(holder=self.configuration.holder),
        )
        admin_routes = make_admin_routes(self.admin_context())
        return Starlette(routes=[*announcement_routes, *admin_routes])

    def admin_context(self) -> AdminContext:
        """Return the context of the administration API."""
        context = self.context
        return AdminContext(
            cfg=context.cfg,
            holder=self.configuration.holder,
            distribution=self.configuration.distribution,
            follower=self.configuration.follower,
            view=self.network.membership.view,
            peers=self.network.peers,
            guard=self.requests.guard,
            publisher=Publisher(
                log=context.log,
                timers=context.timers,
                rng=context.rng,
                cfg=context.cfg.publishing,
                holder=self.configuration.holder,
            ),
            frontend=self.requests.frontend,
        )
