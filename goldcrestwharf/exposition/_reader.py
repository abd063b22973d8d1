"""Collection of this process's metrics on demand."""

from opentelemetry import metrics
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from goldcrestwharf.exposition._render import render_metrics


class MetricsReader:
    """Meter provider whose metrics are rendered on demand."""

    def __init__(self) -> None:
        """Install the provider, so that all instruments record from now on."""
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        metrics.set_meter_provider(self._provider)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return render_metrics(self._reader.get_metrics_data())
