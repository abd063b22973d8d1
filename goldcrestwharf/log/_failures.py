"""Define how calls to the platform's log fail."""

import attrs

from goldcrestwharf.errors import GoldcrestwharfError, PlatformUnavailableError

_RETRY_REMEDY = 'try again once the platform is back'
_READ_REMEDY = 'read the log on to see whether the records are there'


@attrs.define(kw_only=True)
class PlatformBusyError(PlatformUnavailableError):
    """Report that the log refused a call as one too many.

    Nothing took effect; ``retry_after`` is in seconds.
    """

    retry_after: float


@attrs.define(kw_only=True)
class PlatformRequestError(GoldcrestwharfError):
    """Report a request that the log can't accept at any time."""


def not_done(reason: str) -> PlatformUnavailableError:
    """Return the error for a call that certainly had no effect."""
    return PlatformUnavailableError(reason=reason, remedy=_RETRY_REMEDY)


def maybe_done(reason: str) -> PlatformUnavailableError:
    """Return the error for a call that may have taken effect."""
    return PlatformUnavailableError(
        reason=reason,
        remedy=_READ_REMEDY,
        is_effect_unknown=True,
    )


def refused_as_busy(retry_after: float) -> PlatformBusyError:
    """Return the error for a call over the limit of appends."""
    return PlatformBusyError(
        reason='the platform log takes no more appends at the moment',
        remedy=f'try again in {retry_after:.1f} s',
        retry_after=retry_after,
    )
