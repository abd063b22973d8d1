"""Results of claiming an idempotency key."""

import attrs

from goldcrestwharf.limits._claim_records import ClaimRecord


@attrs.frozen(kw_only=True)
class Won:
    """The request may run; the key is never given to another request.

    ``won_at`` is the local time, in seconds, before the claim was appended.
    """

    record: ClaimRecord
    won_at: float


@attrs.frozen(kw_only=True)
class AlreadyRan:
    """The request has run before.

    ``answer`` is ``None`` if it was too large to be recorded or can't be
    read now; ``digest`` is its SHA-256 in hexadecimal digits.
    """

    answer: bytes | None
    digest: str


@attrs.frozen(kw_only=True)
class Running:
    """An earlier duplicate of the request is running now."""


@attrs.frozen(kw_only=True)
class MayHaveRun:
    """An earlier duplicate was dispatched and its outcome is unknown.

    This is final: the request is never run again under the same key.
    """


@attrs.frozen(kw_only=True)
class Conflict:
    """The key belongs to a different request."""


@attrs.frozen(kw_only=True)
class Unavailable:
    """The key could not be claimed, so the request did not run.

    ``retry_after`` is in seconds.
    """

    retry_after: float


ClaimResult = Won | AlreadyRan | Running | MayHaveRun | Conflict | Unavailable
