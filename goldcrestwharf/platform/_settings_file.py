"""Reload the settings file on changes, which may come without a signal."""

import os
from pathlib import Path

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._names import SETTINGS_VARIABLE
from goldcrestwharf.platform._settings import (
    PlatformSettings,
    read_settings,
)
from goldcrestwharf.platform._values import (
    PlatformFormatError,
)

_log = EventLog(__name__)


def find_settings() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ[SETTINGS_VARIABLE])


class SettingsFile:
    """The settings last read; an unreadable file leaves them unchanged."""

    def __init__(self, *, path: Path) -> None:
        """Read ``path``; raises the errors of :func:`read_settings`."""
        self._path = path
        self._mtime = self._read_mtime()
        self.current: PlatformSettings = read_settings(path)

    def check(self) -> None:
        """Read the file again if it has changed."""
        if self._read_mtime() != self._mtime:
            self.reload()

    def reload(self) -> None:
        """Read the file again."""
        self._mtime = self._read_mtime()
        try:
            settings = read_settings(self._path)
        except (OSError, PlatformFormatError) as exc:
            _log.warning('settings.refused', cause=repr(exc))
            return
        has_changed = settings != self.current
        self.current = settings
        _log.note('settings.reloaded', has_changed=has_changed)

    def _read_mtime(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as exc:
            _log.warning('settings.unreadable', cause=repr(exc))
            return 0
