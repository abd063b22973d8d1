"""Measure the request path with OpenTelemetry instruments.

Until a provider is installed, the instruments cost next to nothing.
"""

from opentelemetry import metrics

from goldcrestwharf.admission import Refusal
from goldcrestwharf.proxy._outcomes import Lost, Outcome

#: Upper bounds of the histograms, in seconds: from a call within a zone to
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
_tries = _meter.create_counter(
    'proxy.tries',
    description='tries of requests by outcome',
)
_holds = _meter.create_histogram(
    'proxy.target.duration',
    unit='s',
    description='time that a request held a slot of the own target',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
)
_waits = _meter.create_histogram(
    'proxy.target.wait',
    unit='s',
    description='time that a request waited for a slot of the own target',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
)
_streams = _meter.create_counter(
    'proxy.streams',
    description='streams to other daemons by what happened to them',
)


def record_request(status: int, seconds: float) -> None:
    """Measure a request of a caller by the status that it got."""
    _requests.record(seconds, {'status': status})


def count_try(outcome: Outcome) -> None:
    """Count one try by what became of it."""
    if isinstance(outcome, Refusal):
        told = outcome.reason.value
    elif isinstance(outcome, Lost):
        told = 'lost'
    else:
        told = 'failed' if outcome.has_failed else 'answered'
    _tries.add(1, {'outcome': told})


def record_hold(seconds: float) -> None:
    """Measure how long a request held a slot."""
    _holds.record(seconds)


def record_wait(seconds: float) -> None:
    """Measure how long a request waited for a slot."""
    _waits.record(seconds)


def count_stream(event: str) -> None:
    """Count what happened to a stream: ``connected``, ``lost``, ``silent``."""
    _streams.add(1, {'event': event})
