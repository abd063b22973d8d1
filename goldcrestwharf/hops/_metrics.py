"""Count the requests of callers by outcome."""

from opentelemetry import metrics

from goldcrestwharf.hops._duplicates import Duplicate
from goldcrestwharf.hops._messages import HopAnswer, HopRefusal, HopUnknown

_meter = metrics.get_meter('goldcrestwharf.hops')
_requests = _meter.create_counter(
    'hops.requests',
    description='requests of callers by outcome',
)
_duration = _meter.create_histogram(
    'hops.duration',
    unit='s',
    description='time from the whole request to its final answer',
)


def record_request(
    service: str,
    outcome: HopAnswer | HopRefusal | HopUnknown | Duplicate,
    seconds: float,
) -> None:
    """Record the outcome and the duration of a request."""
    labels = {'service': service, 'outcome': _outcome_label(outcome)}
    _requests.add(1, labels)
    _duration.record(seconds, labels)


def _outcome_label(
    outcome: HopAnswer | HopRefusal | HopUnknown | Duplicate,
) -> str:
    match outcome:
        case HopAnswer():
            return 'answered'
        case HopRefusal(reason=reason) | HopUnknown(reason=reason):
            return reason
        case _:
            return outcome.state
