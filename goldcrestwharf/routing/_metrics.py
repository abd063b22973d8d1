"""Count and log what becomes of targets."""

import logging

from opentelemetry import metrics

from goldcrestwharf.routing._model import TargetKey

_log = logging.getLogger(__name__)
_meter = metrics.get_meter('goldcrestwharf.routing')
_ejections = _meter.create_counter(
    'routing.ejections',
    description='targets that this daemon took out of service',
)


def note_ejection(key: TargetKey, seconds: float) -> None:
    """Tell that a target is out of service for a while."""
    _ejections.add(1)
    _log.warning(
        'target.ejected vm=%s target=%s seconds=%.1f',
        key.vm,
        key.target,
        seconds,
    )


def note_return(key: TargetKey) -> None:
    """Tell that a target is back in service."""
    _log.info('target.restored vm=%s target=%s', key.vm, key.target)
