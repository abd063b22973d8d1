"""Bound what a caller may send."""

import attrs

_KB = 1024


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bound heads and bodies in bytes, and waits in seconds.

    The defaults hold until an operator's configuration is known.
    """

    max_head_bytes: int = 32 * _KB
    max_body_bytes: int = _KB * _KB
    head_timeout: float = 10
    idle_timeout: float = 60
