"""Logging, metrics and traces."""

from goldcrestwharf.telemetry._logs import set_up_logs
from goldcrestwharf.telemetry._settings import LogSettings, TelemetrySettings
from goldcrestwharf.telemetry._signals import (
    TelemetryProviders,
    set_up_telemetry,
)

__all__ = (
    'LogSettings',
    'TelemetryProviders',
    'TelemetrySettings',
    'set_up_logs',
    'set_up_telemetry',
)
