"""OpenTelemetry instruments of roll-outs."""

from opentelemetry import metrics

_meter = metrics.get_meter('goldcrestwharf.proxy')
_phases = _meter.create_counter(
    'proxy.rollouts',
    description='phases of roll-outs that this daemon learned of',
)
_answers = _meter.create_counter(
    'proxy.rollout.answers',
    description='answers of the own target during a roll-out',
)


def count_phase(phase: str) -> None:
    """Count a phase of an order."""
    _phases.add(1, {'phase': phase})


def count_answer(*, is_new: bool, has_failed: bool) -> None:
    """Count an answer of the local target by version and outcome."""
    _answers.add(
        1,
        {
            'version': 'new' if is_new else 'old',
            'outcome': 'failed' if has_failed else 'answered',
        },
    )
