"""Metrics and log lines of ejections."""

import logging

from opentelemetry import metrics

from goldcrestwharf.routing._model import TargetKey

_log = logging.getLogger(__name__)
_meter = metrics.get_meter('goldcrestwharf.routing')
_ejections = _meter.create_counter(
    'routing.ejections',
    description='targets that this daemon ejected',
)


def report_ejection(key: TargetKey, seconds: float) -> None:
    """Count and log the ejection of a target."""
    _ejections.add(1)
    _log.warning(
        'target.ejected vm=%s target=%s seconds=%.1f',
        key.vm,
        key.target,
        seconds,
    )


def report_restoration(key: TargetKey) -> None:
    """Log that a target was restored."""
    _log.info('target.restored vm=%s target=%s', key.vm, key.target)
