"""Send and receive datagrams."""

import ipaddress
import logging
from typing import Protocol

import anyio
import attrs
from anyio.abc import SocketAttribute, UDPSocket

from goldcrestwharf.membership._checks import has_port

_log = logging.getLogger(__name__)

#: Errors of the system or of a wrong address when a datagram is sent.
_SEND_ERRORS = (OSError, ValueError, anyio.BrokenResourceError)


@attrs.frozen(kw_only=True)
class Datagram:
    """Received datagram and the ``host:port`` that it came from."""

    packed: bytes
    address: str


class Datagrams(Protocol):
    """Transport whose datagrams may be lost, duplicated or reordered."""

    async def send(self, packed: bytes, address: str) -> None:
        """Send ``packed`` to ``host:port``; a failure counts as a loss."""

    async def receive(self) -> Datagram:
        """Return the next datagram that arrives."""


class UdpDatagrams:
    """Datagram transport over a UDP socket."""

    def __init__(self, *, sock: UDPSocket) -> None:
        """Use ``sock``, which its opener closes."""
        self._sock = sock
        self._lock = anyio.Lock()

    async def send(self, packed: bytes, address: str) -> None:
        """Send ``packed``; log errors of the system and drop the datagram."""
        try:
            await self._send(packed, address)
        except _SEND_ERRORS as exc:
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

    async def _send(self, packed: bytes, address: str) -> None:
        if not has_port(address):
            raise ValueError('the address has no valid port')
        host, port = address.rsplit(':', 1)
        # A host name would be resolved, which blocks the event loop.
        number = str(ipaddress.ip_address(host))
        async with self._lock:
            await self._sock.sendto(packed, number, int(port))


async def open_udp(address: str) -> UdpDatagrams:
    """Return datagrams on a socket bound to ``host:port``."""
    host, port = address.rsplit(':', 1)
    sock = await anyio.create_udp_socket(
        local_host=host,
        local_port=int(port),
    )
    return UdpDatagrams(sock=sock)
