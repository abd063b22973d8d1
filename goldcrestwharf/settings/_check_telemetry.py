"""Check the settings of metrics and traces."""

from collections.abc import Iterator

from goldcrestwharf.documents import Problem, Severity
from goldcrestwharf.settings._registry import SETTINGS, check
from goldcrestwharf.settings._settings import DaemonSettings

_TO_FILE = 'file'


@check
def find_missing_path(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a problem for a file exporter without a file."""
    if cfg.telemetry.exporter == _TO_FILE and not cfg.telemetry.path:
        yield Problem(
            place=SETTINGS.within('telemetry.path'),
            reason='telemetry.path is empty, but the exporter writes a file',
            remedy='write the path of the file',
            related=(SETTINGS.within('telemetry.exporter'),),
        )


@check
def find_unused_path(cfg: DaemonSettings) -> Iterator[Problem]:
    """Yield a warning for a file that nothing is written to."""
    if cfg.telemetry.exporter != _TO_FILE and cfg.telemetry.path:
        yield Problem(
            place=SETTINGS.within('telemetry.path'),
            reason='telemetry.path is set, but the exporter writes no file',
            remedy='set telemetry.exporter to "file" or remove the path',
            severity=Severity.WARNING,
            related=(SETTINGS.within('telemetry.exporter'),),
        )
