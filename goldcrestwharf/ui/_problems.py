"""Print the problems of a document."""

from goldcrestwharf.documents import Problem, Problems


def describe_problems(problems: Problems) -> list[dict[str, str]]:
    """Return problems as JSON values with stable names."""
    return [_to_json(problem) for problem in problems]


def _to_json(problem: Problem) -> dict[str, str]:
    return {
        'severity': problem.severity.value,
        'kind': problem.place.kind,
        'name': problem.place.name,
        'field': problem.place.field,
        'reason': problem.reason,
        'remedy': problem.remedy,
    }
