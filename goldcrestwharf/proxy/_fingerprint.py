"""Fingerprints of requests as they are sent to targets."""

from goldcrestwharf.proxy._header_names import HeaderNames
from goldcrestwharf.quarantine import fingerprint_for_caller, fingerprint_of

_LATIN = 'latin-1'
_HOST = b'host'


def fingerprint_of_head(head: bytes, body: bytes) -> str:
    """Return the fingerprint of a request to a target.

    It is the same for all ids, callers and daemons: method, path with query,
    host and body. ``head`` consists of the request line and the header lines.
    """
    return _fingerprint_of_lines(_split(head), body)


def fingerprints_of_head(
    head: bytes, body: bytes, names: HeaderNames
) -> tuple[str, str]:
    """Return the fingerprint of a request, and the one for its caller only.

    ``names`` are in lower case.
    """
    lines = _split(head)
    fingerprint = _fingerprint_of_lines(lines, body)
    caller = _find(lines, names.caller)
    return fingerprint, fingerprint_for_caller(fingerprint, caller)


def _fingerprint_of_lines(lines: list[str], body: bytes) -> str:
    method, path, _ = lines[0].split(' ', 2)
    return fingerprint_of(method, _find(lines, _HOST), path, body)


def _split(head: bytes) -> list[str]:
    return head.decode(_LATIN).split('\r\n')


def _find(lines: list[str], name: bytes) -> str:
    """Return the last value of a header, as the daemon adds its own last."""
    found = ''
    for line in lines:
        key, _, text = line.partition(':')
        if key.lower() == name.decode(_LATIN):
            found = text.strip()
    return found
