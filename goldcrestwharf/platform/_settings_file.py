"""Follow the settings file, which may change without a signal."""

import os
from pathlib import Path

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._names import SETTINGS_VARIABLE
from goldcrestwharf.platform._settings import (
    PlatformSettings,
    read_settings,
)
from goldcrestwharf.platform._values import PlatformFormatError

_log = EventLog(__name__)


def find_settings() -> Path:
    """Return where the platform put the settings file."""
    return Path(os.environ[SETTINGS_VARIABLE])


class SettingsFile:
    """Hold the settings read last; an unreadable file changes nothing."""

    def __init__(self, *, path: Path) -> None:
        """Read ``path``; raises what :func:`read_settings` raises."""
        self._path = path
        self._stamp = self._find_stamp()
        self.current: PlatformSettings = read_settings(path)

    def check(self) -> None:
        """Read the file again if it has changed."""
        if self._find_stamp() != self._stamp:
            self.reload()

    def reload(self) -> None:
        """Read the file again."""
        self._stamp = self._find_stamp()
        try:
            settings = read_settings(self._path)
        except (OSError, PlatformFormatError) as exc:
            _log.warn('settings.refused', cause=repr(exc))
            return
        has_changed = settings != self.current
        self.current = settings
        _log.note('settings.reloaded', has_changed=has_changed)

    def _find_stamp(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as exc:
            _log.warn('settings.unreadable', cause=repr(exc))
            return 0
