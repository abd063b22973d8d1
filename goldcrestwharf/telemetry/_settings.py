"""Settings of logs, metrics and traces."""

import attrs

from goldcrestwharf.documents import integer, text


@attrs.frozen(kw_only=True)
class LogSettings:
    """Format and level of the log on standard error."""

    format: str = text(
        'text',
        summary='format of a line: text with key=value fields, or JSON',
        choices=('text', 'json'),
    )
    level: str = text(
        'info',
        summary='least severe level that is logged',
        choices=('debug', 'info', 'warning', 'error'),
    )


@attrs.frozen(kw_only=True)
class TelemetrySettings:
    """Exporter of metrics and spans, and its sampling."""

    exporter: str = text(
        'none',
        summary='exporter of metrics and spans',
        choices=('none', 'console', 'file'),
    )
    path: str = text('', summary='path of the file for the exporter "file"')
    sample_percent: int = integer(
        1,
        summary='percentage of new traces that are recorded',
        unit='%',
        low=0,
        high=100,
    )
    metrics_period_ms: int = integer(
        10_000,
        summary='interval between exports of the metrics',
        unit='ms',
        low=100,
        high=3_600_000,
    )
