"""Define the limits of requests from callers."""

import attrs

_KB = 1024

#: A usual limit in HTTP servers.
_DEFAULT_HEAD_BYTES = 32_768


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits in bytes and timeouts in seconds.

    The defaults apply until the operator's configuration is known.
    """

    max_head_bytes: int = _DEFAULT_HEAD_BYTES
    max_body_bytes: int = _KB * _KB
    head_timeout: float = 10
    idle_timeout: float = 60
