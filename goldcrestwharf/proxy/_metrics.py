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

_SECONDS = 's'

#: Directions of bodies.
INCOMING = 'in'
OUTGOING = 'out'

_meter = metrics.get_meter('goldcrestwharf.proxy')
_requests = _meter.create_histogram(
    'proxy.request.duration',
    unit=_SECONDS,
    description='time from the first byte of a request to its answer',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
)
_attempts = _meter.create_counter(
    'proxy.tries',
    description='tries of requests by outcome',
)
_service_times = _meter.create_histogram(
    'proxy.target.duration',
    unit=_SECONDS,
    description='time that a request held a slot of the own target',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
)
_queue_waits = _meter.create_histogram(
    'proxy.target.wait',
    unit=_SECONDS,
    description='time that a request waited for a slot of the own target',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
)
_streams = _meter.create_counter(
    'proxy.streams',
    description='streams to other daemons by what happened to them',
)
_crashes = _meter.create_counter(
    'proxy.crashes',
    description='crashes of the own target, and what became of suspects',
)
_transfers = _meter.create_counter(
    'proxy.transfers',
    description='large bodies sent and received by what became of them',
)
_refused_transfers = _meter.create_counter(
    'proxy.transfers.refused',
    description='bodies refused, by cause',
)
_in_transit = _meter.create_up_down_counter(
    'proxy.transfers.in_transit',
    unit='By',
    description='bytes of large bodies that are still to be sent or received',
)
_link_backlog = _meter.create_histogram(
    'proxy.transfers.backlog',
    unit=_SECONDS,
    description='time that the link needs for the bodies before a new one',
    explicit_bucket_boundaries_advisory=BOUNDS_S,
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


def count_stream(event: str) -> None:
    """Count an event: ``connected``, ``lost``, ``suspect`` or ``silent``."""
    _streams.add(1, {'event': event})


def count_crash(event: str) -> None:
    """Count an event: ``crashed``, ``cleared`` or ``tried``."""
    _crashes.add(1, {'event': event})


def count_transfer(direction: str, event: str) -> None:
    """Count a body, ``in`` or ``out``: ``completed`` or ``stopped``."""
    _transfers.add(1, {'direction': direction, 'event': event})


def count_refused_transfer(cause: str) -> None:
    """Count a refusal by its cause.

    That is the ``link`` or the ``memory`` before a body is sent, and
    ``response`` for a response that gave its memory back.
    """
    _refused_transfers.add(1, {'cause': cause})


def add_in_transit(direction: str, size: int) -> None:
    """Add bytes of bodies that are on their way, ``in`` or ``out``."""
    _in_transit.add(size, {'direction': direction})


def record_link_backlog(seconds: float) -> None:
    """Record the time that the link needs for the bodies before a new one."""
    _link_backlog.record(seconds)
