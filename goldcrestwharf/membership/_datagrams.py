"""Send and receive datagrams."""

import logging
from typing import Protocol

import anyio
import attrs
from anyio.abc import SocketAttribute, UDPSocket

_log = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Datagram:
    """Hold what arrived and the ``host:port`` that it came from."""

    packed: bytes
    address: str


class Datagrams(Protocol):
    """Exchange datagrams that may be lost, doubled, delayed or reordered."""

    async def send(self, packed: bytes, address: str) -> None:
        """Send ``packed`` to ``host:port``; a failure counts as a loss."""

    async def receive(self) -> Datagram:
        """Return the next datagram that arrives."""


class UdpDatagrams:
    """Exchange datagrams over a UDP socket."""

    def __init__(self, *, sock: UDPSocket) -> None:
        """Use ``sock``; whoever opened it closes it."""
        self._sock = sock
        self._lock = anyio.Lock()

    async def send(self, packed: bytes, address: str) -> None:
        """Send ``packed``; the system's refusals count as losses."""
        host, port = address.rsplit(':', 1)
        try:
            async with self._lock:
                await self._sock.sendto(packed, host, int(port))
        except (OSError, ValueError, anyio.BrokenResourceError) as exc:
            _log.debug('datagram.not_sent to=%s reason=%s', address, exc)

    async def receive(self) -> Datagram:
        """Return the next datagram that arrives."""
        packed, (host, port) = await self._sock.receive()
        return Datagram(packed=packed, address=f'{host}:{port}')

    def address(self) -> str:
        """Return the ``host:port`` that the socket is bound to."""
        host = self._sock.extra(SocketAttribute.local_address)[0]
        port = self._sock.extra(SocketAttribute.local_port)
        return f'{host}:{port}'


async def open_udp(address: str) -> UdpDatagrams:
    """Return datagrams on a socket bound to ``host:port``."""
    host, port = address.rsplit(':', 1)
    sock = await anyio.create_udp_socket(
        local_host=host,
        local_port=int(port),
    )
    return UdpDatagrams(sock=sock)
