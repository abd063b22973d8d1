"""OpenTelemetry instruments of the slots of the local target."""

from opentelemetry import metrics

_meter = metrics.get_meter('goldcrestwharf.proxy')
_refusals = _meter.create_counter(
    'proxy.target.refusals',
    description='requests that got no slot of the own target by stage',
)


def count_slot_refusal(*, is_queued: bool) -> None:
    """Count a refusal on arrival, or of a request that was queued."""
    _refusals.add(1, {'stage': 'queue' if is_queued else 'arrival'})
