"""Parse the addresses that settings name: an IP number and a port."""

import ipaddress
import re

import attrs

_MAX_PORT = 65_535
_ADDRESS = re.compile(
    r'(?:\[(?P<six>[0-9A-Fa-f:.]+)\]|(?P<four>[0-9.]+)):(?P<port>[0-9]{1,5})'
)


@attrs.frozen(kw_only=True)
class Address:
    """Hold an IP number and a port."""

    host: ipaddress.IPv4Address | ipaddress.IPv6Address
    port: int

    @classmethod
    def parse(cls, written: str) -> 'Address':
        """Return the address that ``written`` names.

        Raises ``ValueError`` for any text but an IP number and a port, as
        in ``10.0.0.7:7001`` or ``[2001:db8::7]:7001``.
        """
        match = _ADDRESS.fullmatch(written)
        if match is None:
            raise ValueError('not an IP number and a port')
        port = int(match['port'])
        if not 1 <= port <= _MAX_PORT:
            raise ValueError(f'port {port} is not from 1 to {_MAX_PORT}')
        host = ipaddress.ip_address(match['six'] or match['four'])
        return cls(host=host, port=port)

    def clashes_with(self, other: 'Address') -> bool:
        """Tell whether two listeners can't have both addresses."""
        if self.port != other.port:
            return False
        is_any = self.host.is_unspecified or other.host.is_unspecified
        return is_any or self.host == other.host

    @property
    def is_dialable(self) -> bool:
        """Tell whether the address names one machine."""
        return not (self.host.is_unspecified or self.host.is_multicast)


def find_address(written: str) -> Address | None:
    """Return the address that ``written`` names, if it names one."""
    try:
        return Address.parse(written)
    except ValueError:
        return None
