"""Define the records of claims on the platform's log."""

import enum
import hashlib

import attrs

from goldcrestwharf.wire import message

#: The stream of the platform's log that holds the claims.
CLAIM_STREAM = 'claims'

_DIGITS = 32


class ClaimEnd(enum.StrEnum):
    """Tell how the request of a claim ended.

    ``DONE`` ran and was answered, ``UNKNOWN`` may have run, and ``NOT_RUN``
    certainly didn't and never will, so that its key is free again.
    """

    DONE = 'done'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not-run'


@message('limits.claim')
@attrs.frozen(kw_only=True)
class ClaimRecord:
    """Claim a key for one run; ``claim_id`` is new for each claim."""

    claim_id: str
    key: str
    fingerprint: str


@message('limits.claim_end')
@attrs.frozen(kw_only=True)
class ClaimEndRecord:
    """Tell how the request of a claim ended; ``end`` is a ClaimEnd.

    ``answer`` is ``None`` if there was none or it was too large; ``digest``
    is its SHA-256 in hexadecimal digits.
    """

    claim_id: str
    key: str
    fingerprint: str
    end: str
    answer: bytes | None = None
    digest: str = ''


def scope_key(key: str, caller: str) -> str:
    """Return a digest of an idempotency key and the caller it belongs to."""
    scope = hashlib.sha256(caller.encode())
    scoped = hashlib.sha256(scope.digest() + key.encode())
    return scoped.hexdigest()[:_DIGITS]


def free(record: ClaimRecord) -> ClaimEndRecord:
    """Return the record that frees the key of a claim that didn't run."""
    return ClaimEndRecord(
        claim_id=record.claim_id,
        key=record.key,
        fingerprint=record.fingerprint,
        end=ClaimEnd.NOT_RUN,
    )
