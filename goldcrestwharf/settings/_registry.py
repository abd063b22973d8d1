"""Registry of the checks that the schema of single settings can't express."""

from collections.abc import Callable, Iterator

from goldcrestwharf.documents import Place, Problem, Problems
from goldcrestwharf.settings._settings import DaemonSettings

#: Place of the settings in reports of problems.
SETTINGS = Place(kind='settings')

CheckFunction = Callable[[DaemonSettings], Iterator[Problem]]

_checks: list[CheckFunction] = []


def check(find: CheckFunction) -> CheckFunction:
    """Register a function that yields the problems of settings."""
    _checks.append(find)
    return find


def check_settings(cfg: DaemonSettings) -> Problems:
    """Return all problems that the registered checks find."""
    return tuple(problem for find in _checks for problem in find(cfg))
