"""Count what the limits decide."""

from opentelemetry import metrics

_meter = metrics.get_meter('goldcrestwharf.limits')
_refusals = _meter.create_counter(
    'limits.refusals',
    description='requests refused by a gate or a share, by reason',
)
_retries = _meter.create_counter(
    'limits.retries',
    description='failed tries by what was decided on a further one',
)
_claims = _meter.create_counter(
    'limits.claims',
    description='claims of idempotency keys by result',
)


def count_refusal(reason: str) -> None:
    """Count a request that was refused."""
    _refusals.add(1, {'reason': reason})


def count_retry(decision: str) -> None:
    """Count a failed try."""
    _retries.add(1, {'decision': decision})


def count_claim(told: object) -> None:
    """Count what a claim came to."""
    _claims.add(1, {'result': type(told).__name__})
