"""Set up logs, metrics and traces."""

from goldcrestwharf.telemetry._logs import set_up_logs
from goldcrestwharf.telemetry._settings import LogSettings, TelemetrySettings
from goldcrestwharf.telemetry._signals import Signals, set_up_signals

__all__ = (
    'LogSettings',
    'Signals',
    'TelemetrySettings',
    'set_up_logs',
    'set_up_signals',
)
