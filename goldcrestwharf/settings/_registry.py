"""Register the checks that look at several settings, or deep into one."""

from collections.abc import Callable, Iterator

from goldcrestwharf.documents import Place, Problem, Problems
from goldcrestwharf.settings._settings import DaemonSettings

#: The settings as a whole.
SETTINGS = Place(kind='settings')

CheckFunction = Callable[[DaemonSettings], Iterator[Problem]]

_checks: list[CheckFunction] = []


def check(find: CheckFunction) -> CheckFunction:
    """Register a function that yields the problems of settings."""
    _checks.append(find)
    return find


def check_settings(cfg: DaemonSettings) -> Problems:
    """Return all problems that the registered functions find."""
    return tuple(problem for find in _checks for problem in find(cfg))
