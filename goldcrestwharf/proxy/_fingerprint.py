"""Fingerprints of requests as they are sent to targets."""

from goldcrestwharf.proxy._header_names import HeaderNames
from goldcrestwharf.quarantine import fingerprint_of

_LATIN = 'latin-1'
_HOST = b'host'


def fingerprint_of_head(head: bytes, body: bytes, names: HeaderNames) -> str:
    """Return the fingerprint of a request to a target.

    It is the same for all ids and at all daemons: method, path with query,
    host, body, and the service of the caller. ``head`` consists of the
    request line and the header lines; ``names`` are in lower case.
    """
    request_line, *lines = head.decode(_LATIN).split('\r\n')
    method, path, _ = request_line.split(' ', 2)
    return fingerprint_of(
        method,
        _find(lines, _HOST),
        path,
        body,
        _find(lines, names.caller),
    )


def _find(lines: list[str], name: bytes) -> str:
    """Return the last value of a header, as the daemon adds its own last."""
    found = ''
    for line in lines:
        key, _, text = line.partition(':')
        if key.lower() == name.decode(_LATIN):
            found = text.strip()
    return found
