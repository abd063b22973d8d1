"""Records of claims in the platform's log."""

import enum
import hashlib

import attrs

from goldcrestwharf.wire import message

#: Name of the log stream that holds the claims.
CLAIM_STREAM = 'claims'

_DIGEST_HEX_DIGITS = 32


class ClaimEnd(enum.StrEnum):
    """How the request of a claim ended.

    A ``DONE`` request ran and was answered, an ``UNKNOWN`` one may have run.
    A ``NOT_RUN`` request didn't run and never will, so its key is released.
    """

    DONE = 'done'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not-run'


@message('limits.claim')
@attrs.frozen(kw_only=True)
class ClaimRecord:
    """Claim of a key for one run; ``claim_id`` is unique to each claim."""

    claim_id: str
    key: str
    fingerprint: str


@message('limits.claim_end')
@attrs.frozen(kw_only=True)
class ClaimEndRecord:
    """End of a claim's request; ``end`` is a :class:`ClaimEnd`.

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
    """Return a digest of an idempotency key scoped to its caller."""
    caller_digest = hashlib.sha256(caller.encode())
    scoped = hashlib.sha256(caller_digest.digest() + key.encode())
    return scoped.hexdigest()[:_DIGEST_HEX_DIGITS]


def make_release(record: ClaimRecord) -> ClaimEndRecord:
    """Return the end record that releases the key of an unrun claim."""
    return ClaimEndRecord(
        claim_id=record.claim_id,
        key=record.key,
        fingerprint=record.fingerprint,
        end=ClaimEnd.NOT_RUN,
    )
