"""Addresses of daemons and targets, as ``host:port``."""

import re

_MAX_PORT = 65_535
_MAX_ADDRESS_CHARS = 260
_ADDRESS = re.compile(
    r'(?:[A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9_-]{1,63}:([0-9]{1,5})'
)


def is_address(text: str) -> bool:
    """Return whether a connection to ``text`` can be attempted.

    The host is an IPv4 address or a name.
    """
    if len(text) > _MAX_ADDRESS_CHARS:
        return False
    found = _ADDRESS.fullmatch(text)
    return found is not None and 1 <= int(found.group(1)) <= _MAX_PORT
