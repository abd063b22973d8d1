"""Run the one process of a VM from its settings to a graceful stop."""

import logging
import random

import anyio
from anyio.abc import TaskStatus

from goldcrestwharf.admin import register_report_handler
from goldcrestwharf.daemon._configuration import make_configuration
from goldcrestwharf.daemon._local import LocalParts
from goldcrestwharf.daemon._network import Basis, open_network
from goldcrestwharf.daemon._requests import make_requests
from goldcrestwharf.daemon._stop import stop_gracefully
from goldcrestwharf.http1 import CallerLimits
from goldcrestwharf.log import Log, PlatformSettings, open_log
from goldcrestwharf.peers import serve_peers
from goldcrestwharf.servers import EdgeServer
from goldcrestwharf.settings import DaemonSettings
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)

_MS_PER_S = 1000

#: Bytes of a body on the local listener; the largest are published sets, of
#: which one with 2,000 services takes about a megabyte.
_MAX_LOCAL_BODY_BYTES = 67_108_864


class Daemon:
    """Run a daemon until it is told to stop."""

    def __init__(
        self,
        *,
        cfg: DaemonSettings,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        """Use the settings ``cfg``."""
        self._cfg = cfg
        self._timers = timers
        self._rng = rng
        self._stopping = anyio.Event()

    def stop(self) -> None:
        """Begin a graceful stop: leave, finish what is in flight, end."""
        self._stopping.set()

    async def run(
        self,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until :meth:`stop`; ``task_status`` tells that it listens."""
        platform = PlatformSettings(url=self._cfg.platform_url)
        async with open_log(
            cfg=platform,
            timers=self._timers,
            rng=self._rng,
        ) as log:
            await self._run_with(log, task_status)

    async def _run_with(self, log: Log, task_status: TaskStatus[None]) -> None:
        async with anyio.create_task_group() as tg:
            basis = Basis(
                cfg=self._cfg,
                timers=self._timers,
                rng=self._rng,
                log=log,
                tg=tg,
            )
            parts = await _start(basis)
            servers = await _serve(parts)
            _log.info('daemon.started vm=%s', self._cfg.vm)
            task_status.started()
            await self._stopping.wait()
            await stop_gracefully(parts, servers)
            tg.cancel_scope.cancel()
        _log.info('daemon.stopped vm=%s', self._cfg.vm)


async def _start(basis: Basis) -> LocalParts:
    network = await open_network(basis)
    configuration = make_configuration(basis, network)
    requests = make_requests(basis, network, configuration)
    parts = LocalParts(
        basis=basis,
        network=network,
        configuration=configuration,
        requests=requests,
    )
    register_report_handler(network.handlers, parts.admin())
    network.membership.register(network.handlers)
    await basis.tg.start(serve_peers, basis.cfg.peer_address, network.context)
    for task in (
        network.membership.run,
        configuration.run,
        requests.local_targets.run,
        requests.claims.run,
        requests.spreader.run,
    ):
        basis.tg.start_soon(task)
    return parts


async def _serve(parts: LocalParts) -> tuple[EdgeServer, EdgeServer]:
    basis = parts.basis
    grace = basis.cfg.drain_timeout_ms / _MS_PER_S
    local = EdgeServer(
        app=parts.make_app(),
        address=basis.cfg.local_address,
        limits=CallerLimits(max_body_bytes=_MAX_LOCAL_BODY_BYTES),
        graceful_timeout=grace,
    )
    callers = EdgeServer(
        app=parts.requests.front,
        address=basis.cfg.caller_address,
        limits=CallerLimits(max_body_bytes=basis.cfg.hops.max_body_bytes),
        graceful_timeout=grace,
    )
    await basis.tg.start(local.run)
    await basis.tg.start(callers.run)
    return (callers, local)
