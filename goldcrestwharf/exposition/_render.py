"""Rendering of metrics in the Prometheus text format, version 0.0.4."""

import itertools
from collections.abc import Iterator, Mapping
from typing import Any

from opentelemetry.sdk.metrics.export import (
    Histogram,
    HistogramDataPoint,
    Metric,
    MetricsData,
    NumberDataPoint,
    Sum,
)

_SECONDS_UNIT = 's'


def render_metrics(collected: MetricsData | None) -> str:
    """Return the collected metrics as text."""
    if collected is None:
        return ''
    lines = itertools.chain.from_iterable(
        _render_metric(metric) for metric in _find_metrics(collected)
    )
    return ''.join(f'{line}\n' for line in lines)


def _find_metrics(collected: MetricsData) -> Iterator[Metric]:
    for resource in collected.resource_metrics:
        for scope in resource.scope_metrics:
            yield from scope.metrics


def _render_metric(metric: Metric) -> Iterator[str]:
    name = _metric_name(metric)
    yield f'# HELP {name} {metric.description}'
    if isinstance(metric.data, Histogram):
        yield f'# TYPE {name} histogram'
        for histogram in metric.data.data_points:
            yield from _render_histogram(name, histogram)
        return
    kind = 'counter' if isinstance(metric.data, Sum) else 'gauge'
    yield f'# TYPE {name} {kind}'
    for point in metric.data.data_points:
        if isinstance(point, NumberDataPoint):
            labels = _format_labels(point.attributes or {})
            yield f'{name}{labels} {point.value}'


def _render_histogram(name: str, point: HistogramDataPoint) -> Iterator[str]:
    attributes = dict(point.attributes or {})
    for bound, count in _cumulative_counts(point):
        bucket_labels = _format_labels({**attributes, 'le': bound})
        yield f'{name}_bucket{bucket_labels} {count}'
    labels = _format_labels(attributes)
    yield f'{name}_sum{labels} {point.sum}'
    yield f'{name}_count{labels} {point.count}'


def _cumulative_counts(point: HistogramDataPoint) -> Iterator[tuple[str, int]]:
    bounds = (*map(str, point.explicit_bounds), '+Inf')
    counts = itertools.accumulate(point.bucket_counts)
    return zip(bounds, counts, strict=True)


def _metric_name(metric: Metric) -> str:
    name = metric.name.replace('.', '_')
    if metric.unit == _SECONDS_UNIT:
        return f'{name}_seconds'
    return f'{name}_total' if isinstance(metric.data, Sum) else name


def _format_labels(attributes: Mapping[str, Any]) -> str:
    if not attributes:
        return ''
    pairs = ','.join(
        f'{key}="{label}"' for key, label in sorted(attributes.items())
    )
    return f'{{{pairs}}}'
