"""Write metrics in the Prometheus text format, version 0.0.4."""

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

_SECONDS = 's'


def render_metrics(collected: MetricsData | None) -> str:
    """Return the text of all metrics that were collected."""
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
    name = _name_of(metric)
    yield f'# HELP {name} {metric.description}'
    if isinstance(metric.data, Histogram):
        yield f'# TYPE {name} histogram'
        for spread in metric.data.data_points:
            yield from _render_histogram(name, spread)
        return
    kind = 'counter' if isinstance(metric.data, Sum) else 'gauge'
    yield f'# TYPE {name} {kind}'
    for point in metric.data.data_points:
        if isinstance(point, NumberDataPoint):
            labels = _labels(point.attributes or {})
            yield f'{name}{labels} {point.value}'


def _render_histogram(name: str, point: HistogramDataPoint) -> Iterator[str]:
    attributes = dict(point.attributes or {})
    for bound, count in _accumulate(point):
        written = _labels({**attributes, 'le': bound})
        yield f'{name}_bucket{written} {count}'
    labels = _labels(attributes)
    yield f'{name}_sum{labels} {point.sum}'
    yield f'{name}_count{labels} {point.count}'


def _accumulate(point: HistogramDataPoint) -> Iterator[tuple[str, int]]:
    bounds = (*map(str, point.explicit_bounds), '+Inf')
    counts = itertools.accumulate(point.bucket_counts)
    return zip(bounds, counts, strict=True)


def _name_of(metric: Metric) -> str:
    plain = metric.name.replace('.', '_')
    if metric.unit == _SECONDS:
        return f'{plain}_seconds'
    return f'{plain}_total' if isinstance(metric.data, Sum) else plain


def _labels(attributes: Mapping[str, Any]) -> str:
    if not attributes:
        return ''
    written = ','.join(
        f'{key}="{found}"' for key, found in sorted(attributes.items())
    )
    return f'{{{written}}}'
