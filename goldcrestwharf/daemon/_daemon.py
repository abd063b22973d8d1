"""Lifecycle of a daemon: start, listeners and graceful shutdown."""

import logging
import random

import anyio
from anyio.abc import TaskStatus

from goldcrestwharf.admin import register_report_handler
from goldcrestwharf.daemon._components import DaemonComponents
from goldcrestwharf.daemon._configuration import make_configuration_service
from goldcrestwharf.daemon._network import DaemonContext, open_network
from goldcrestwharf.daemon._requests import make_request_components
from goldcrestwharf.daemon._shutdown import shut_down_gracefully
from goldcrestwharf.http1 import CallerLimits
from goldcrestwharf.log import Log, PlatformSettings, open_log
from goldcrestwharf.peers import serve_peers
from goldcrestwharf.servers import EdgeServer
from goldcrestwharf.settings import DaemonSettings
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)

_MS_PER_S = 1000

#: Most bytes of a body on the local listener. The largest bodies are published
#: configurations; one with 2,000 services has about a megabyte.
_MAX_LOCAL_BODY_BYTES = 67_108_864


class Daemon:
    """Daemon of one VM."""

    def __init__(
        self,
        *,
        cfg: DaemonSettings,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        """Configure the daemon with ``cfg``."""
        self._cfg = cfg
        self._timers = timers
        self._rng = rng
        self._stopping = anyio.Event()

    def stop(self) -> None:
        """Begin the graceful shutdown; :meth:`run` returns after it."""
        self._stopping.set()

    async def run(
        self,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until :meth:`stop`; ``task_status`` starts once it listens."""
        platform = PlatformSettings(url=self._cfg.platform_url)
        async with open_log(
            cfg=platform,
            timers=self._timers,
            rng=self._rng,
        ) as log:
            await self._run_with(log, task_status)

    async def _run_with(self, log: Log, task_status: TaskStatus[None]) -> None:
        async with anyio.create_task_group() as tg:
            context = DaemonContext(
                cfg=self._cfg,
                timers=self._timers,
                rng=self._rng,
                log=log,
                tg=tg,
            )
            components = await _start(context)
            servers = await _serve(components)
            _log.info('daemon.started vm=%s', self._cfg.vm)
            task_status.started()
            await self._stopping.wait()
            await shut_down_gracefully(components, servers)
            tg.cancel_scope.cancel()
        _log.info('daemon.stopped vm=%s', self._cfg.vm)


async def _start(context: DaemonContext) -> DaemonComponents:
    network = await open_network(context)
    configuration = make_configuration_service(context, network)
    requests = make_request_components(context, network, configuration)
    components = DaemonComponents(
        context=context,
        network=network,
        configuration=configuration,
        requests=requests,
    )
    register_report_handler(network.handlers, components.admin_context())
    network.membership.register(network.handlers)
    await context.tg.start(
        serve_peers, context.cfg.peer_address, network.context
    )
    for task in (
        network.membership.run,
        configuration.run,
        requests.local_targets.run,
        requests.claims.run,
        requests.crash_report_gossip.run,
    ):
        context.tg.start_soon(task)
    return components


async def _serve(components: DaemonComponents) -> tuple[EdgeServer, EdgeServer]:
    context = components.context
    graceful_timeout = context.cfg.drain_timeout_ms / _MS_PER_S
    local_server = EdgeServer(
        app=components.make_app(),
        address=context.cfg.local_address,
        limits=CallerLimits(max_body_bytes=_MAX_LOCAL_BODY_BYTES),
        graceful_timeout=graceful_timeout,
    )
    caller_server = EdgeServer(
        app=components.requests.frontend,
        address=context.cfg.caller_address,
        limits=CallerLimits(max_body_bytes=context.cfg.hops.max_body_bytes),
        graceful_timeout=graceful_timeout,
    )
    await context.tg.start(local_server.run)
    await context.tg.start(caller_server.run)
    return (caller_server, local_server)
