"""Keep a daemon's configuration current, from the log or from relays."""

import logging

import anyio
import attrs

from goldcrestwharf.daemon._network import Basis, Network
from goldcrestwharf.distribution import Distribution
from goldcrestwharf.replay import (
    Checkpointer,
    LogFollower,
    SnapshotHolder,
    Version,
)

_log = logging.getLogger(__name__)

_JOIN_WAIT_S = 3


@attrs.frozen(kw_only=True)
class Configuration:
    """Hold the configuration in force and the parts that renew it."""

    basis: Basis
    network: Network
    holder: SnapshotHolder
    follower: LogFollower
    distribution: Distribution

    async def run(self) -> None:
        """Learn the floor from peers, then follow until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._tell_witnesses)
            await self._learn_floor()
            tg.start_soon(self.distribution.run, self.follow_log)

    async def follow_log(self) -> None:
        """Follow the log and hold the duties of a reader."""
        checkpointer = Checkpointer(
            log=self.basis.log,
            replica=self.follower.replica,
            timers=self.basis.timers,
            rng=self.basis.rng,
            cfg=self.basis.cfg.replay,
        )
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.follower.run)
            tg.start_soon(self._lend_to_follower)
            tg.start_soon(checkpointer.run)

    async def _learn_floor(self) -> None:
        """Wait for what the peers remember of this VM, a bounded time.

        A daemon that can reach nobody starts without a floor; the log gives
        it the newest version, and so does the first peer that it meets.
        """
        membership = self.network.membership
        with self.basis.timers.limit(_JOIN_WAIT_S) as scope:
            await membership.joined.wait()
        if scope.cancelled_caught:
            _log.warning('daemon.alone wait_s=%d', _JOIN_WAIT_S)
        floor = membership.view.floor_for(self.basis.cfg.vm)
        if floor:
            _log.info('config.floor version=%s', floor)
            self.holder.raise_floor(Version.parse(floor))

    async def _tell_witnesses(self) -> None:
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

    async def _lend_to_follower(self) -> None:
        """Hand what peers brought to the follower, which may lack a start."""
        version: Version | None = None
        while True:
            snapshot = await self.holder.wait_newer(version)
            version = snapshot.version
            self.follower.adopt(snapshot)


def make_configuration(basis: Basis, network: Network) -> Configuration:
    """Return the parts that renew a daemon's configuration."""
    holder = SnapshotHolder()
    follower = LogFollower(
        log=basis.log,
        holder=holder,
        timers=basis.timers,
        rng=basis.rng,
        cfg=basis.cfg.replay,
    )
    distribution = Distribution(
        holder=holder,
        view=network.membership.view,
        peers=network.peers,
        timers=basis.timers,
        rng=basis.rng,
        cfg=basis.cfg.distribution,
        is_log_healthy=lambda: not follower.status().last_error,
    )
    distribution.register(network.handlers)
    return Configuration(
        basis=basis,
        network=network,
        holder=holder,
        follower=follower,
        distribution=distribution,
    )
