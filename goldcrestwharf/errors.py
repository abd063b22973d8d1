"""Define the typed errors that the packages raise or return.

Each kind carries what went wrong and the remedy, and its text gives both,
so that a person who reads only the message knows what to do next.
"""

import attrs


@attrs.define(kw_only=True)
class GoldcrestwharfError(Exception):
    """Describe a failure together with its remedy."""

    reason: str
    remedy: str

    def __str__(self) -> str:
        """Return the reason and the remedy as one line."""
        return f'{self.reason}; {self.remedy}'


@attrs.define(kw_only=True)
class SettingsError(GoldcrestwharfError):
    """Report that a settings file can't be used."""


@attrs.define(kw_only=True)
class PlatformUnavailableError(GoldcrestwharfError):
    """Report that the platform's log gave no usable answer.

    ``is_effect_unknown`` is true if the lost call may have taken effect.
    """

    is_effect_unknown: bool = False


@attrs.define(kw_only=True)
class PeerError(GoldcrestwharfError):
    """Report that a message to another daemon failed."""


@attrs.define(kw_only=True)
class NotSentError(PeerError):
    """Report that a message was never written to the peer's stream."""


@attrs.define(kw_only=True)
class OutcomeUnknownError(PeerError):
    """Report that a message was written, but no answer came."""


@attrs.define(kw_only=True)
class UnsupportedMessageError(PeerError):
    """Report that the peer's release doesn't know the message."""


@attrs.define(kw_only=True)
class WireFormatError(GoldcrestwharfError):
    """Report bytes that are not a well-formed message."""


@attrs.define(kw_only=True)
class HandshakeError(PeerError):
    """Report a peer that didn't prove knowledge of the cluster key."""
