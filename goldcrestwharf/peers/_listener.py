"""Accept streams from other daemons."""

import logging

import anyio
import attrs
from anyio.abc import ByteStream, SocketStream, TaskStatus

from goldcrestwharf.errors import GoldcrestwharfError
from goldcrestwharf.peers._conn import PeerConn
from goldcrestwharf.peers._handlers import Handlers
from goldcrestwharf.peers._handshake import SERVER, Handshake
from goldcrestwharf.peers._hello import Credentials
from goldcrestwharf.peers._link import STREAM_END_ERRORS, Link
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import FrameReader

_log = logging.getLogger(__name__)

_MS_PER_S = 1000

#: Errors that may occur while a stream is opened.
OPEN_ERRORS = (TimeoutError, GoldcrestwharfError, *STREAM_END_ERRORS)


@attrs.frozen(kw_only=True)
class PeerContext:
    """Objects that each stream to another daemon needs."""

    credentials: Credentials
    handlers: Handlers
    timers: Timers
    cfg: PeerSettings


async def open_conn(
    stream: ByteStream,
    context: PeerContext,
    *,
    side: bytes,
) -> PeerConn:
    """Return a connection on ``stream`` after the handshake.

    Raises :class:`HandshakeError` or :class:`WireFormatError` if the other
    end is of another cluster, fails to authenticate or closes the stream.
    """
    reader = FrameReader(stream=stream)
    handshake = Handshake(
        stream=stream,
        reader=reader,
        credentials=context.credentials,
        side=side,
    )
    peer = await handshake.run()
    link = Link(stream=stream, reader=reader, timers=context.timers)
    return PeerConn(
        link=link,
        peer=peer,
        handlers=context.handlers,
        timers=context.timers,
        cfg=context.cfg,
    )


async def serve_peers(
    address: str,
    context: PeerContext,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accept streams on ``address`` until cancelled.

    ``task_status`` gets the bound ``host:port``, which has the port that
    the system chose if ``address`` has port 0.
    """
    host, port = address.rsplit(':', 1)
    listener = await anyio.create_tcp_listener(
        local_host=host,
        local_port=int(port),
        reuse_port=False,
    )
    bound_port = listener.extra(anyio.abc.SocketAttribute.local_port)
    task_status.started(f'{host}:{bound_port}')
    acceptor = _Acceptor(
        context=context,
        limiter=anyio.CapacityLimiter(context.cfg.max_conns),
    )
    await listener.serve(acceptor.accept)


@attrs.frozen(kw_only=True)
class _Acceptor:
    """Handler of accepted streams, up to ``max_conns`` at once."""

    context: PeerContext
    limiter: anyio.CapacityLimiter

    async def accept(self, stream: SocketStream) -> None:
        """Run the handshake on ``stream``, then run it to its end."""
        async with self.limiter, stream:
            try:
                conn = await self._open(stream)
            except OPEN_ERRORS as exc:
                _log.warning('peer.handshake_refused reason=%s', exc)
                return
            await conn.run()

    async def _open(self, stream: SocketStream) -> PeerConn:
        timeout = self.context.cfg.handshake_timeout_ms / _MS_PER_S
        with anyio.fail_after(timeout):
            return await open_conn(stream, self.context, side=SERVER)
