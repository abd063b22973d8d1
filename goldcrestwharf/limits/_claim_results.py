"""Define what a claim of an idempotency key comes to."""

import attrs

from goldcrestwharf.limits._claim_records import ClaimRecord


@attrs.frozen(kw_only=True)
class Won:
    """Allow the request to run: no other ever gets this key.

    ``won_at`` is the local time, in seconds, before the claim's append.
    """

    record: ClaimRecord
    won_at: float


@attrs.frozen(kw_only=True)
class AlreadyRan:
    """Tell that the request ran before.

    ``answer`` is ``None`` if it was too large to be recorded or can't be
    read now; ``digest`` is its SHA-256 in hexadecimal digits.
    """

    answer: bytes | None
    digest: str


@attrs.frozen(kw_only=True)
class Running:
    """Tell that the request runs now, on behalf of an earlier copy."""


@attrs.frozen(kw_only=True)
class MayHaveRun:
    """Tell that an earlier copy was dispatched and its end is unknown.

    This is final: the request is not run again under the same key.
    """


@attrs.frozen(kw_only=True)
class Conflict:
    """Tell that the key belongs to a different request."""


@attrs.frozen(kw_only=True)
class Unavailable:
    """Tell that no claim could be made, so the request did not run.

    ``retry_after`` is in seconds.
    """

    retry_after: float


ClaimResult = Won | AlreadyRan | Running | MayHaveRun | Conflict | Unavailable
