"""Metrics in the Prometheus text format."""

from goldcrestwharf.exposition._reader import MetricsReader
from goldcrestwharf.exposition._render import render_metrics

__all__ = ('MetricsReader', 'render_metrics')
