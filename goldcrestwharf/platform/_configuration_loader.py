"""Decode configurations in the platform's format and adopt newer ones."""

import attrs

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._configuration import decode_configuration
from goldcrestwharf.platform._values import (
    PlatformFormatError,
)
from goldcrestwharf.policy import OfferResult, PolicyHolder

_log = EventLog(__name__)


@attrs.frozen(kw_only=True)
class ConfigurationLoader:
    """A decoder of configurations that offers them to ``holder``."""

    holder: PolicyHolder

    def offer(self, written: bytes, source: str) -> None:
        """Adopt the configuration in ``written`` if it is valid and newer."""
        try:
            snapshot = decode_configuration(written)
        except PlatformFormatError as exc:
            _log.warning(
                'config.refused',
                source=source,
                cause=exc.reason,
            )
            return
        before = self.holder.version
        outcome = self.holder.offer(snapshot)
        if outcome is not OfferResult.KNOWN:
            _log.note(
                'config.offered',
                source=source,
                version=snapshot.version,
                in_force_before=before,
                outcome=outcome.value,
            )
