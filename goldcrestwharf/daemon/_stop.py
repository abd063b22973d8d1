"""Stop a daemon without cutting off a request."""

import logging

import anyio

from goldcrestwharf.daemon._local import LocalParts
from goldcrestwharf.servers import EdgeServer

_log = logging.getLogger(__name__)

_MS_PER_S = 1000

#: Time in which the news of the leaving reaches the rest of the zone, while
#: this daemon still serves what others send before they know.
_SPREAD_S = 1

#: Time for the last answers to leave once a listener is closed.
_LAST_ANSWERS_S = 2


async def stop_gracefully(
    parts: LocalParts,
    servers: tuple[EdgeServer, EdgeServer],
) -> None:
    """Leave the mesh, finish what is in flight and stop listening.

    First the targets of the VM refuse new work as not run and the members
    are told; callers' requests are still forwarded to other VMs until the
    caller listener closes and its last request is answered.
    """
    callers, local = servers
    _log.info('daemon.leaving vm=%s', parts.basis.cfg.vm)
    await _drain(parts, callers)
    await parts.network.membership.depart()
    _log.info('daemon.departed vm=%s', parts.basis.cfg.vm)
    await _close_soon(local)


async def _drain(parts: LocalParts, callers: EdgeServer) -> None:
    cfg = parts.basis.cfg
    with anyio.move_on_after(cfg.drain_timeout_ms / _MS_PER_S) as scope:
        await parts.network.membership.leave()
        await parts.basis.timers.sleep(_SPREAD_S)
        async with anyio.create_task_group() as tg:
            tg.start_soon(parts.requests.target_side.drain)
            tg.start_soon(_close, callers)
    if scope.cancelled_caught:
        _log.warning('daemon.drain_timed_out vm=%s', cfg.vm)
        parts.requests.front.abort_requests()
        await _close_soon(callers)


async def _close_soon(server: EdgeServer) -> None:
    with anyio.move_on_after(_LAST_ANSWERS_S):
        await _close(server)


async def _close(server: EdgeServer) -> None:
    server.stop()
    await server.stopped.wait()
