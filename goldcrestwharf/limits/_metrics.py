"""Metrics of the decisions made by the limits."""

from opentelemetry import metrics

_meter = metrics.get_meter('goldcrestwharf.limits')
_refusals = _meter.create_counter(
    'limits.refusals',
    description='requests refused by a gate or a share, by reason',
)
_retries = _meter.create_counter(
    'limits.retries',
    description='failed attempts, by the decision whether to retry',
)
_claims = _meter.create_counter(
    'limits.claims',
    description='claims of idempotency keys by result',
)


def count_refusal(reason: str) -> None:
    """Count a refused request."""
    _refusals.add(1, {'reason': reason})


def count_retry(decision: str) -> None:
    """Count a failed attempt by the decision on a retry."""
    _retries.add(1, {'decision': decision})


def count_claim(claim_result: object) -> None:
    """Count a claim by its result."""
    _claims.add(1, {'result': type(claim_result).__name__})
