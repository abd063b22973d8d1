"""Register the checks of a set.

Whether a record of the log was accepted must not depend on the release that
replays it. So a revision, once released, is frozen: a check that changes is
ended by ``until`` and its successor begins at a new revision.
"""

from collections.abc import Callable, Iterator

import attrs

from goldcrestwharf.documents import Problem
from goldcrestwharf.objects._model import ObjectSet

CheckFunction = Callable[[ObjectSet], Iterator[Problem]]

_checks: dict[str, 'Check'] = {}


@attrs.frozen(kw_only=True)
class Check:
    """Hold one check; it belongs to revisions ``since`` up to ``until``.

    ``until`` is exclusive, and ``None`` for a check that goes on. A check
    that ``is_local`` looks at each object by itself, and one that
    ``is_advisory`` yields warnings alone.
    """

    name: str
    find: CheckFunction
    since: int
    until: int | None
    is_local: bool
    is_advisory: bool

    def belongs_to(self, revision: int) -> bool:
        """Tell whether the check is one of ``revision``."""
        ended = self.until is not None and revision >= self.until
        return self.since <= revision and not ended


def check(
    name: str,
    *,
    since: int = 1,
    until: int | None = None,
    is_local: bool = False,
    is_advisory: bool = False,
) -> Callable[[CheckFunction], CheckFunction]:
    """Register a function that yields the problems of a set.

    With ``is_local`` the function promises that what it yields on an object
    depends on that object and its name alone, and with ``is_advisory`` that
    it yields no refusals.
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
