"""Count the requests of callers by what they came to."""

from opentelemetry import metrics

from goldcrestwharf.hops._messages import HopAnswer, HopRefusal, HopUnknown
from goldcrestwharf.hops._repeats import EarlierCopy

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


def note_request(
    service: str,
    outcome: HopAnswer | HopRefusal | HopUnknown | EarlierCopy,
    seconds: float,
) -> None:
    """Count a request and how long it took."""
    labels = {'service': service, 'outcome': _name(outcome)}
    _requests.add(1, labels)
    _duration.record(seconds, labels)


def _name(outcome: HopAnswer | HopRefusal | HopUnknown | EarlierCopy) -> str:
    match outcome:
        case HopAnswer():
            return 'answered'
        case HopRefusal(reason=reason) | HopUnknown(reason=reason):
            return reason
        case _:
            return outcome.state
