"""Addresses in settings: an IP number and a port."""

import ipaddress
import re

import attrs

_MAX_PORT = 65_535
_ADDRESS = re.compile(
    r'(?:\[(?P<six>[0-9A-Fa-f:.]+)\]|(?P<four>[0-9.]+)):(?P<port>[0-9]{1,5})'
)


@attrs.frozen(kw_only=True)
class Address:
    """IP number and port."""

    host: ipaddress.IPv4Address | ipaddress.IPv6Address
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse an address.

        The format is that of ``10.0.0.7:7001`` and ``[2001:db8::7]:7001``.
        Raises ``ValueError`` for any other text.
        """
        match = _ADDRESS.fullmatch(text)
        if match is None:
            raise ValueError('not an IP number and a port')
        port = int(match['port'])
        if not 1 <= port <= _MAX_PORT:
            raise ValueError(f'port {port} is not from 1 to {_MAX_PORT}')
        host = ipaddress.ip_address(match['six'] or match['four'])
        return cls(host=host, port=port)

    def conflicts_with(self, other: 'Address') -> bool:
        """Return whether listeners can't be bound to both addresses."""
        if self.port != other.port:
            return False
        is_wildcard = self.host.is_unspecified or other.host.is_unspecified
        return is_wildcard or self.host == other.host

    @property
    def is_connectable(self) -> bool:
        """Return whether other hosts can connect to the address."""
        return not (self.host.is_unspecified or self.host.is_multicast)


def parse_address(text: str) -> Address | None:
    """Parse an address; return ``None`` if ``text`` isn't one."""
    try:
        return Address.parse(text)
    except ValueError:
        return None
