"""Checks of the settings of metrics and traces."""

from collections.abc import Iterator

from goldcrestwharf.documents import Problem, Severity
from goldcrestwharf.settings._registry import SETTINGS, check
from goldcrestwharf.settings._settings import DaemonSettings

_FILE_EXPORTER = 'file'


@check
def find_missing_path(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for a file exporter without a path."""
    if cfg.telemetry.exporter == _FILE_EXPORTER and not cfg.telemetry.path:
        yield Problem(
            place=SETTINGS.within('telemetry.path'),
            reason='telemetry.path is empty, but the exporter writes a file',
            remedy='write the path of the file',
            related=(SETTINGS.within('telemetry.exporter'),),
        )


@check
def find_unused_path(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a warning for a path that no exporter writes to."""
    if cfg.telemetry.exporter != _FILE_EXPORTER and cfg.telemetry.path:
        yield Problem(
            place=SETTINGS.within('telemetry.path'),
            reason='telemetry.path is set, but the exporter writes no file',
            remedy='set telemetry.exporter to "file" or remove the path',
            severity=Severity.WARNING,
            related=(SETTINGS.within('telemetry.exporter'),),
        )
