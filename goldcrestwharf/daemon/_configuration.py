"""Updates of a daemon's configuration, from the log or from other daemons."""

import logging

import anyio
import attrs

from goldcrestwharf.daemon._network import DaemonContext, Network
from goldcrestwharf.distribution import Distribution
from goldcrestwharf.replay import (
    Checkpointer,
    LogFollower,
    SnapshotHolder,
    Version,
)

_log = logging.getLogger(__name__)

_JOIN_TIMEOUT_S = 3


@attrs.frozen(kw_only=True)
class ConfigurationService:
    """Active configuration of a daemon, and what updates it."""

    context: DaemonContext
    network: Network
    holder: SnapshotHolder
    follower: LogFollower
    distribution: Distribution

    async def run(self) -> None:
        """Get the version floor from peers, then follow until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._report_running_version)
            await self._adopt_version_floor()
            tg.start_soon(self.distribution.run, self.follow_log)

    async def follow_log(self) -> None:
        """Follow the log and write checkpoints, as a reader does."""
        checkpointer = Checkpointer(
            log=self.context.log,
            replica=self.follower.replica,
            timers=self.context.timers,
            rng=self.context.rng,
            cfg=self.context.cfg.replay,
        )
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.follower.run)
            tg.start_soon(self._pass_snapshots_to_follower)
            tg.start_soon(checkpointer.run)

    async def _adopt_version_floor(self) -> None:
        """Wait for the join, then adopt the version floor from the peers.

        If no peer is reachable within the timeout, the daemon starts without
        a floor. It then gets the newest version from the log or from the
        first peer that it reaches.
        """
        membership = self.network.membership
        with self.context.timers.limit(_JOIN_TIMEOUT_S) as scope:
            await membership.joined.wait()
        if scope.cancelled_caught:
            _log.warning('daemon.alone wait_s=%d', _JOIN_TIMEOUT_S)
        floor = membership.view.floor_for(self.context.cfg.vm)
        if floor:
            _log.info('config.floor version=%s', floor)
            self.holder.raise_floor(Version.parse(floor))

    async def _report_running_version(self) -> None:
        version: Version | None = None
        while True:
            snapshot = await self.holder.wait_newer(version)
            version = snapshot.version
            self.network.membership.set_running(str(version))
            _log.info(
                'config.applied version=%s services=%d routes=%d',
                version,
                len(snapshot.objects.services),
                len(snapshot.objects.routes),
            )

    async def _pass_snapshots_to_follower(self) -> None:
        """Pass snapshots from peers to the follower of the log.

        The log alone may not reach back far enough for it to start.
        """
        version: Version | None = None
        while True:
            snapshot = await self.holder.wait_newer(version)
            version = snapshot.version
            self.follower.adopt(snapshot)


def make_configuration_service(
    context: DaemonContext, network: Network
) -> ConfigurationService:
    """Return the service that updates a daemon's configuration."""
    holder = SnapshotHolder()
    follower = LogFollower(
        log=context.log,
        holder=holder,
        timers=context.timers,
        rng=context.rng,
        cfg=context.cfg.replay,
    )
    distribution = Distribution(
        holder=holder,
        view=network.membership.view,
        peers=network.peers,
        timers=context.timers,
        rng=context.rng,
        cfg=context.cfg.distribution,
        is_log_healthy=lambda: not follower.status().last_error,
    )
    distribution.register(network.handlers)
    return ConfigurationService(
        context=context,
        network=network,
        holder=holder,
        follower=follower,
        distribution=distribution,
    )
