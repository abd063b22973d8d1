"""Convert the problems of a document to JSON."""

from goldcrestwharf.documents import Problem, Problems


def describe_problems(problems: Problems) -> list[dict[str, str]]:
    """Return problems as JSON objects; scripts rely on their keys."""
    return [_to_json_object(problem) for problem in problems]


def _to_json_object(problem: Problem) -> dict[str, str]:
    return {
        'severity': problem.severity.value,
        'kind': problem.place.kind,
        'name': problem.place.name,
        'field': problem.place.field,
        'reason': problem.reason,
        'remedy': problem.remedy,
    }
