"""Register the checks of a set.

Whether a record of the log is accepted must not depend on the release that
replays it. A released revision is therefore frozen: to change a check, end it
with ``until`` and add its successor at a new revision.
"""

from collections.abc import Callable, Iterator

import attrs

from goldcrestwharf.documents import Problem
from goldcrestwharf.objects._model import ObjectSet

CheckFunction = Callable[[ObjectSet], Iterator[Problem]]

_checks: dict[str, 'Check'] = {}


@attrs.frozen(kw_only=True)
class Check:
    """A check that is part of the revisions from ``since`` to ``until``.

    ``until`` is exclusive, and ``None`` for a check without an end. A check
    that ``is_local`` considers each object by itself, and one that
    ``is_advisory`` yields only warnings.
    """

    name: str
    find: CheckFunction
    since: int
    until: int | None
    is_local: bool
    is_advisory: bool

    def belongs_to(self, revision: int) -> bool:
        """Return whether the check is part of ``revision``."""
        is_ended = self.until is not None and revision >= self.until
        return self.since <= revision and not is_ended


def check(
    name: str,
    *,
    since: int = 1,
    until: int | None = None,
    is_local: bool = False,
    is_advisory: bool = False,
) -> Callable[[CheckFunction], CheckFunction]:
    """Register a function that yields the problems of a set.

    ``is_local`` asserts that the problems of an object depend only on that
    object and its name, and ``is_advisory`` that there are no refusals.
    """

    def decorator(find: CheckFunction) -> CheckFunction:
        if name in _checks:
            raise ValueError(f'check name {name!r} is taken already')
        _checks[name] = Check(
            name=name,
            find=find,
            since=since,
            until=until,
            is_local=is_local,
            is_advisory=is_advisory,
        )
        return find

    return decorator


def registered() -> tuple[Check, ...]:
    """Return all checks of all revisions, ordered by name."""
    return tuple(_checks[name] for name in sorted(_checks))
