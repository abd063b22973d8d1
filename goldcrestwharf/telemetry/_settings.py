"""Define the settings of logs, metrics and traces."""

import attrs

from goldcrestwharf.documents import integer, text


@attrs.frozen(kw_only=True)
class LogSettings:
    """Choose the form and the detail of the log on standard error."""

    format: str = text(
        'text',
        summary='form of a line: key=value text for people, or JSON',
        choices=('text', 'json'),
    )
    level: str = text(
        'info',
        summary='least severe level that is written',
        choices=('debug', 'info', 'warning', 'error'),
    )


@attrs.frozen(kw_only=True)
class TelemetrySettings:
    """Choose where metrics and spans go."""

    exporter: str = text(
        'none',
        summary='where metrics and spans go',
        choices=('none', 'console', 'file'),
    )
    path: str = text('', summary='file for the exporter "file"')
    sample_percent: int = integer(
        1,
        summary='share of new traces that are recorded',
        unit='%',
        low=0,
        high=100,
    )
    metrics_period_ms: int = integer(
        10_000,
        summary='time between two exports of the metrics',
        unit='ms',
        low=100,
        high=3_600_000,
    )
