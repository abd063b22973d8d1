"""Errors that the packages raise or return.

Each error has a reason and a remedy, and its message contains both, so that
whoever reads only the message knows what to do next.
"""

import attrs


@attrs.define(kw_only=True)
class GoldcrestwharfError(Exception):
    """Base class of errors: a reason and its remedy."""

    reason: str
    remedy: str

    def __str__(self) -> str:
        """Return the reason and the remedy in one line."""
        return f'{self.reason}; {self.remedy}'


@attrs.define(kw_only=True)
class SettingsError(GoldcrestwharfError):
    """Unusable settings file."""


@attrs.define(kw_only=True)
class InvalidConfigurationError(GoldcrestwharfError):
    """Configuration that daemons would refuse."""


@attrs.define(kw_only=True)
class PlatformUnavailableError(GoldcrestwharfError):
    """Call to the platform's log without a usable answer.

    ``is_effect_unknown`` is true if the call may have taken effect.
    """

    is_effect_unknown: bool = False


@attrs.define(kw_only=True)
class PeerError(GoldcrestwharfError):
    """Failure of a message to another daemon."""


@attrs.define(kw_only=True)
class NotSentError(PeerError):
    """Message that was never written to the peer's stream."""


@attrs.define(kw_only=True)
class OutcomeUnknownError(PeerError):
    """Message that was written, but got no answer."""


@attrs.define(kw_only=True)
class UnsupportedMessageError(PeerError):
    """Message that the release of the peer doesn't support."""


@attrs.define(kw_only=True)
class WireFormatError(GoldcrestwharfError):
    """Bytes that aren't a well-formed message."""


@attrs.define(kw_only=True)
class HandshakeError(PeerError):
    """Peer that didn't prove knowledge of the cluster key."""
