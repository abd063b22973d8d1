"""Graceful shutdown of a daemon."""

import logging

import anyio

from goldcrestwharf.daemon._components import DaemonComponents
from goldcrestwharf.servers import EdgeServer

_log = logging.getLogger(__name__)

_MS_PER_S = 1000

#: Time for the announcement that this daemon leaves to reach its zone. Until
#: then others may send requests, which the daemon still serves.
_LEAVE_PROPAGATION_S = 1

#: Time for the last answers to be sent after a listener was closed.
_LAST_ANSWERS_TIMEOUT_S = 2


async def shut_down_gracefully(
    components: DaemonComponents,
    servers: tuple[EdgeServer, EdgeServer],
) -> None:
    """Leave the mesh, finish the requests in flight and stop listening.

    The daemon announces to the members that it leaves, and refuses new
    requests for its targets as not run. It still forwards callers' requests
    to other VMs until the caller listener is closed and its last request is
    answered.
    """
    caller_server, local_server = servers
    _log.info('daemon.leaving vm=%s', components.context.cfg.vm)
    await _drain(components, caller_server)
    await components.network.membership.depart()
    _log.info('daemon.departed vm=%s', components.context.cfg.vm)
    await _close_with_timeout(local_server)


async def _drain(
    components: DaemonComponents, caller_server: EdgeServer
) -> None:
    cfg = components.context.cfg
    with anyio.move_on_after(cfg.drain_timeout_ms / _MS_PER_S) as scope:
        await components.network.membership.leave()
        await components.context.timers.sleep(_LEAVE_PROPAGATION_S)
        async with anyio.create_task_group() as tg:
            tg.start_soon(components.requests.target_dispatcher.drain)
            tg.start_soon(_close, caller_server)
    if scope.cancelled_caught:
        _log.warning('daemon.drain_timed_out vm=%s', cfg.vm)
        components.requests.frontend.abort_requests()
        await _close_with_timeout(caller_server)


async def _close_with_timeout(server: EdgeServer) -> None:
    with anyio.move_on_after(_LAST_ANSWERS_TIMEOUT_S):
        await _close(server)


async def _close(server: EdgeServer) -> None:
    server.stop()
    await server.stopped.wait()
