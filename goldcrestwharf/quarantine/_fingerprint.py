"""Fingerprints that identify duplicates of a request."""

import hashlib

_HEX_DIGITS = 32
_LENGTH_BYTES = 8


def fingerprint_of(method: str, host: str, path: str, body: bytes) -> str:
    """Return a digest of a request as 32 hexadecimal digits.

    Each part is prefixed with its length, so two requests have the same
    fingerprint only if all their parts are equal.
    """
    target = (host.lower().encode(), path.encode())
    return _digest(method.encode(), *target, body)


def fingerprint_for_caller(fingerprint: str, caller: str) -> str:
    """Return the fingerprint of a request that only ``caller`` sends.

    It begins with the one of the request.
    """
    return fingerprint + _digest(caller.encode())


def drop_caller(fingerprint: str) -> str:
    """Return the fingerprint of the request, whoever sends it."""
    return fingerprint[:_HEX_DIGITS]


def _digest(*parts: bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()[:_HEX_DIGITS]
