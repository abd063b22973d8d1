"""Decoding of configurations in the platform's format, for tools."""

from goldcrestwharf.errors import InvalidConfigurationError
from goldcrestwharf.platform._configuration import decode_configuration
from goldcrestwharf.platform._values import (
    PlatformFormatError,
)
from goldcrestwharf.policy import PolicySnapshot


def parse_configuration(written: bytes) -> PolicySnapshot:
    """Return the configuration in a document.

    Raises :class:`InvalidConfigurationError` if daemons would refuse it.
    """
    try:
        return decode_configuration(written)
    except PlatformFormatError as exc:
        raise InvalidConfigurationError(
            reason=exc.reason,
            remedy='correct it, as daemons refuse it as a whole',
        ) from exc
