"""Messages by which an entry gets tokens from a coordinator."""

import math

import attrs

from goldcrestwharf.proxy._codec import message
from goldcrestwharf.quotas import Allotment, TokenRequest

#: Message numbers; they must not change.
_QUOTA_REQUEST = 30
_QUOTA_GRANT = 31

_US_PER_S = 1_000_000
_MS_PER_S = 1000


@message(_QUOTA_REQUEST)
@attrs.define(kw_only=True)
class QuotaRequest:
    """Request for ``tokens`` of a workspace, and ``spare`` ones ahead.

    ``returned`` tokens were not used. A request with ``number`` zero wants no
    tokens, and has no answer. ``is_declined`` and ``charged`` are as in
    :class:`TokenRequest`.
    """

    workspace: str
    tokens: int
    returned: int
    number: int = 0
    spare: int = 0
    is_declined: bool = False
    charged: int = 0

    def unpack(self) -> TokenRequest:
        """Return the request."""
        return TokenRequest(
            workspace=self.workspace,
            wanted=max(self.tokens, 0),
            spare=max(self.spare, 0),
            returned=max(self.returned, 0),
            is_declined=self.is_declined,
            charged=self.charged,
        )


@message(_QUOTA_GRANT)
@attrs.define(kw_only=True)
class QuotaGrant:
    """Answer to the request with the same ``number``.

    The fields are those of :class:`Allotment`. ``is_declined`` is set if the
    sender doesn't coordinate the workspace.
    """

    workspace: str
    tokens: int
    retry_after_ms: int
    number: int = 0
    first_wait_us: int = 0
    spacing_us: int = 0
    is_declined: bool = False
    ready: int = 0

    def unpack(self) -> Allotment | None:
        """Return the allotment, ``None`` if the request was declined."""
        if self.is_declined:
            return None
        return Allotment(
            tokens=self.tokens,
            ready=self.ready,
            first_wait=self.first_wait_us / _US_PER_S,
            spacing=self.spacing_us / _US_PER_S,
            retry_after=self.retry_after_ms / _MS_PER_S,
        )


def pack_grant(
    request: QuotaRequest, allotment: Allotment | None
) -> QuotaGrant:
    """Return the answer to a request; times are rounded up."""
    if allotment is None:
        allotment = Allotment(tokens=0)
        is_declined = True
    else:
        is_declined = False
    return QuotaGrant(
        workspace=request.workspace,
        tokens=allotment.tokens,
        retry_after_ms=math.ceil(allotment.retry_after * _MS_PER_S),
        number=request.number,
        first_wait_us=math.ceil(allotment.first_wait * _US_PER_S),
        spacing_us=math.ceil(allotment.spacing * _US_PER_S),
        is_declined=is_declined,
        ready=allotment.ready,
    )
