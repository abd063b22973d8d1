"""OpenTelemetry instruments of the request path.

Without a metrics provider the instruments are almost free.
"""

from opentelemetry import metrics

from goldcrestwharf.admission import Refusal
from goldcrestwharf.proxy._outcomes import Lost, Outcome

#: Bucket bounds of the histograms, in seconds: from a call within a zone up to
#: the longest timeouts.
BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.4,
    0.6,
    1,
    2,
    4,
    8,
)

_meter = metrics.get_meter('goldcrestwharf.proxy')
_requests = _meter.create_histogram(
    'proxy.request.duration',
    unit='s',
    description='time from the first byte of a request to its answer',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
)
_attempts = _meter.create_counter(
    'proxy.tries',
    description='tries of requests by outcome',
)
_service_times = _meter.create_histogram(
    'proxy.target.duration',
    unit='s',
    description='time that a request held a slot of the own target',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
)
_queue_waits = _meter.create_histogram(
    'proxy.target.wait',
    unit='s',
    description='time that a request waited for a slot of the own target',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
)
_slots = _meter.create_gauge(
    'proxy.target.slots',
    description='requests that the own target is given at once',
)
_streams = _meter.create_counter(
    'proxy.streams',
    description='streams to other daemons by what happened to them',
)
_crashes = _meter.create_counter(
    'proxy.crashes',
    description='crashes of the own target, and what became of suspects',
)


def record_request(status: int, seconds: float) -> None:
    """Record the duration of a caller's request by status."""
    _requests.record(seconds, {'status': status})


def count_attempt(outcome: Outcome) -> None:
    """Count an attempt by its outcome."""
    if isinstance(outcome, Refusal):
        label = outcome.reason.value
    elif isinstance(outcome, Lost):
        label = 'lost'
    else:
        label = 'failed' if outcome.has_failed else 'answered'
    _attempts.add(1, {'outcome': label})


def record_service_time(seconds: float) -> None:
    """Record a service time."""
    _service_times.record(seconds)


def record_queue_wait(seconds: float) -> None:
    """Record a queue wait."""
    _queue_waits.record(seconds)


def record_slots(slots: int) -> None:
    """Record the number of slots of the local target."""
    _slots.set(slots)


def count_stream(event: str) -> None:
    """Count an event: ``connected``, ``lost``, ``suspect`` or ``silent``."""
    _streams.add(1, {'event': event})


def count_crash(event: str) -> None:
    """Count an event: ``crashed``, ``cleared`` or ``tried``."""
    _crashes.add(1, {'event': event})
