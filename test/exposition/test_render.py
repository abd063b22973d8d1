from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from goldcrestwharf.exposition import render_metrics


def test_counters_and_histograms_are_rendered_in_the_text_format() -> None:
    reader = InMemoryMetricReader()
    meter = MeterProvider(metric_readers=[reader]).get_meter('test')
    counter = meter.create_counter('proxy.tries', description='tries')
    counter.add(2, {'outcome': 'lost'})
    waits = meter.create_histogram(
        'proxy.wait',
        unit='s',
        description='waits',
        explicit_bucket_boundaries_advisory=(0.1, 1),
    )
    for seconds in (0.05, 0.5, 3):
        waits.record(seconds)
    lines = render_metrics(reader.get_metrics_data()).splitlines()
    assert lines == [
        '# HELP proxy_tries_total tries',
        '# TYPE proxy_tries_total counter',
        'proxy_tries_total{outcome="lost"} 2',
        '# HELP proxy_wait_seconds waits',
        '# TYPE proxy_wait_seconds histogram',
        'proxy_wait_seconds_bucket{le="0.1"} 1',
        'proxy_wait_seconds_bucket{le="1"} 2',
        'proxy_wait_seconds_bucket{le="+Inf"} 3',
        'proxy_wait_seconds_sum 3.55',
        'proxy_wait_seconds_count 3',
    ]


def test_no_metrics_are_rendered_as_empty_text() -> None:
    assert render_metrics(None) == ''
