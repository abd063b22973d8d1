"""OpenTelemetry instruments of the slots of the local target."""

from opentelemetry import metrics

_meter = metrics.get_meter('goldcrestwharf.proxy')
_refusals = _meter.create_counter(
    'proxy.target.refusals',
    description='requests that got no slot of the own target by stage',
)
_slots = _meter.create_gauge(
    'proxy.target.slots',
    description='requests that the own target is given at once',
)


def record_slots(slots: int) -> None:
    """Record the number of slots of the local target."""
    _slots.set(slots)


def count_slot_refusal(*, is_queued: bool) -> None:
    """Count a refusal on arrival, or of a request that was queued."""
    _refusals.add(1, {'stage': 'queue' if is_queued else 'arrival'})
