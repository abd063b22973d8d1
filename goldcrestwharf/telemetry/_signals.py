"""Export of OpenTelemetry metrics and spans to the console or a file."""

import sys
from pathlib import Path
from typing import TextIO

import attrs
from opentelemetry import metrics, trace
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    ConsoleMetricExporter,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)
from opentelemetry.sdk.trace.sampling import (
    ParentBased,
    TraceIdRatioBased,
)

from goldcrestwharf.telemetry._settings import TelemetrySettings

_PERCENT = 100


@attrs.frozen(kw_only=True)
class TelemetryProviders:
    """Providers of spans and metrics, ``None`` without an exporter."""

    tracer_provider: TracerProvider | None = None
    meter_provider: MeterProvider | None = None

    def shut_down(self) -> None:
        """Export what is buffered and close the exporters."""
        if self.tracer_provider is not None:
            self.tracer_provider.shutdown()
        if self.meter_provider is not None:
            self.meter_provider.shutdown()


def set_up_telemetry(
    cfg: TelemetrySettings, *, vm: str, zone: str
) -> TelemetryProviders:
    """Install the exporter that ``cfg`` selects for the daemon of ``vm``."""
    if cfg.exporter == 'none':
        return TelemetryProviders()
    output = _open_output(cfg)
    resource = Resource.create(
        {
            'service.name': 'goldcrestwharf',
            'host.name': vm,
            'cloud.availability_zone': zone,
        },
    )
    providers = TelemetryProviders(
        tracer_provider=_make_tracer_provider(cfg, resource, output),
        meter_provider=_make_meter_provider(cfg, resource, output),
    )
    _install(providers)
    return providers


def _open_output(cfg: TelemetrySettings) -> TextIO:
    if cfg.exporter == 'console':
        return sys.stderr
    return Path(cfg.path).open('a', encoding='utf-8')


def _make_tracer_provider(
    cfg: TelemetrySettings,
    resource: Resource,
    output: TextIO,
) -> TracerProvider:
    ratio = TraceIdRatioBased(cfg.sample_percent / _PERCENT)
    provider = TracerProvider(resource=resource, sampler=ParentBased(ratio))
    exporter = ConsoleSpanExporter(out=output, formatter=_format_span)
    provider.add_span_processor(BatchSpanProcessor(exporter))
    return provider


def _format_span(span: ReadableSpan) -> str:
    line: str = span.to_json(indent=None)
    return f'{line}\n'


def _make_meter_provider(
    cfg: TelemetrySettings,
    resource: Resource,
    output: TextIO,
) -> MeterProvider:
    reader = PeriodicExportingMetricReader(
        ConsoleMetricExporter(
            out=output,
            formatter=lambda batch: f'{batch.to_json(indent=None)}\n',
        ),
        export_interval_millis=cfg.metrics_period_ms,
    )
    return MeterProvider(resource=resource, metric_readers=[reader])


def _install(providers: TelemetryProviders) -> None:
    if providers.tracer_provider is not None:
        trace.set_tracer_provider(providers.tracer_provider)
    if providers.meter_provider is not None:
        metrics.set_meter_provider(providers.meter_provider)
