"""Errors of calls to the platform's log."""

import attrs

from goldcrestwharf.errors import GoldcrestwharfError, PlatformUnavailableError

_RETRY_REMEDY = 'try again once the platform is back'
_READ_REMEDY = 'read the log to see whether the records were appended'


@attrs.define(kw_only=True)
class PlatformBusyError(PlatformUnavailableError):
    """Refusal of an append by the log's rate limit.

    The append had no effect; ``retry_after`` is in seconds.
    """

    retry_after: float


@attrs.define(kw_only=True)
class PlatformRequestError(GoldcrestwharfError):
    """Error of an invalid request, which can't succeed if repeated."""


def no_effect_error(reason: str) -> PlatformUnavailableError:
    """Return the error for a call that is known to have had no effect."""
    return PlatformUnavailableError(reason=reason, remedy=_RETRY_REMEDY)


def effect_unknown_error(reason: str) -> PlatformUnavailableError:
    """Return the error for a call that may have taken effect."""
    return PlatformUnavailableError(
        reason=reason,
        remedy=_READ_REMEDY,
        is_effect_unknown=True,
    )


def busy_error(retry_after: float) -> PlatformBusyError:
    """Return the error for an append over the rate limit."""
    return PlatformBusyError(
        reason='the platform log takes no more appends at the moment',
        remedy=f'try again in {retry_after:.1f} s',
        retry_after=retry_after,
    )
