"""Collect the metrics of this process on demand."""

from opentelemetry import metrics
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from goldcrestwharf.exposition._render import render_metrics


class MetricsReader:
    """Install a provider and render what its instruments have measured."""

    def __init__(self) -> None:
        """Make the instruments of all packages count from now on."""
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        metrics.set_meter_provider(self._provider)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return render_metrics(self._reader.get_metrics_data())
