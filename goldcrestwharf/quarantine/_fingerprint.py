"""Fingerprints that identify duplicates of a request."""

import hashlib

_HEX_DIGITS = 32
_LENGTH_BYTES = 8


def fingerprint_of(
    method: str,
    host: str,
    path: str,
    body: bytes,
    caller: str = '',
) -> str:
    """Return a digest of a request as 32 hexadecimal digits.

    Each part is prefixed with its length, so two requests have the same
    fingerprint only if all their parts are equal. ``caller`` is left out if
    it is empty.
    """
    digest = hashlib.sha256()
    request_line = (method.encode(), host.lower().encode(), path.encode())
    origin = (caller.encode(),) if caller else ()
    for part in (*request_line, body, *origin):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()[:_HEX_DIGITS]
