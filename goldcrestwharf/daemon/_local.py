"""Serve the targets of the VM and its operators."""

import attrs
from starlette.applications import Starlette

from goldcrestwharf.admin import AdminContext, make_admin_routes
from goldcrestwharf.daemon._configuration import Configuration
from goldcrestwharf.daemon._network import Basis, Network
from goldcrestwharf.daemon._requests import Requests
from goldcrestwharf.endpoints import AnnouncementParser, make_routes
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.publishing import Publisher
from goldcrestwharf.replay import SnapshotHolder


@attrs.frozen(kw_only=True)
class HeldGroups:
    """Find target groups in the configuration in force."""

    holder: SnapshotHolder

    def find_group(self, name: str) -> TargetGroup | None:
        """Return the group called ``name``, if there is one."""
        snapshot = self.holder.snapshot
        if snapshot is None:
            return None
        return snapshot.objects.target_groups.get(name)


@attrs.frozen(kw_only=True)
class LocalParts:
    """Hold the parts that the local listener serves."""

    basis: Basis
    network: Network
    configuration: Configuration
    requests: Requests

    def make_app(self) -> Starlette:
        """Return the application of the local listener."""
        basis = self.basis
        host = basis.cfg.peer_address.rsplit(':', 1)[0]
        announcements = make_routes(
            local=self.requests.local_targets,
            parser=AnnouncementParser(host=host, cfg=basis.cfg.endpoints),
            groups=HeldGroups(holder=self.configuration.holder),
        )
        admin = make_admin_routes(self.admin())
        return Starlette(routes=[*announcements, *admin])

    def admin(self) -> AdminContext:
        """Return what the administration API tells of and acts on."""
        basis = self.basis
        return AdminContext(
            cfg=basis.cfg,
            holder=self.configuration.holder,
            distribution=self.configuration.distribution,
            follower=self.configuration.follower,
            view=self.network.membership.view,
            peers=self.network.peers,
            guard=self.requests.guard,
            publisher=Publisher(
                log=basis.log,
                timers=basis.timers,
                rng=basis.rng,
                cfg=basis.cfg.publishing,
                holder=self.configuration.holder,
            ),
            frontend=self.requests.front,
        )
