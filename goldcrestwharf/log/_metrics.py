"""Counters of the calls and bytes exchanged with the platform's log."""

import httpx
from opentelemetry import metrics

_meter = metrics.get_meter('goldcrestwharf.log')
_requests = _meter.create_counter(
    'platform.requests',
    description='answers of the log by status',
)
_sent = _meter.create_counter('platform.sent', unit='By')
_received = _meter.create_counter('platform.received', unit='By')


def count_exchange(answer: httpx.Response) -> None:
    """Count a request, its answer and their bytes."""
    method = {'method': answer.request.method}
    _requests.add(1, {**method, 'status': answer.status_code})
    _sent.add(len(answer.request.content), method)
    _received.add(answer.num_bytes_downloaded, method)
