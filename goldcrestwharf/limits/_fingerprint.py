"""Recognise a request that is sent again."""

import hashlib

_DIGITS = 32
_LENGTH_BYTES = 8


def fingerprint_of(method: str, host: str, path: str, body: bytes) -> str:
    """Return a digest, 32 hexadecimal digits, of what a target would run.

    Each part is preceded by its length, so that two requests share a
    digest only if all their parts are equal.
    """
    digest = hashlib.sha256()
    request_line = (method.encode(), host.lower().encode(), path.encode())
    for part in (*request_line, body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()[:_DIGITS]
