"""Warn of objects that nothing uses."""

from collections.abc import Collection, Iterator

from goldcrestwharf.documents import Place, Problem, Severity
from goldcrestwharf.objects._kinds import ROUTES, SERVICES, TARGET_GROUPS, Kind
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._registry import check


@check('service-used', is_advisory=True)
def find_unused_services(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a warning for each service that no route uses."""
    used = {route.service for route in objects.routes.values()}
    for name in _find_unused(objects.services, used):
        yield _unused(SERVICES, name, ROUTES)


@check('target-group-used', is_advisory=True)
def find_unused_target_groups(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a warning for each target group that no service uses."""
    used: set[str] = set()
    for service in objects.services.values():
        used.add(service.target_group)
        used.update(service.split)
    for name in _find_unused(objects.target_groups, used):
        yield _unused(TARGET_GROUPS, name, SERVICES)


@check('set-not-empty', is_advisory=True)
def find_empty_set(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a warning for a set without any route."""
    if not objects.routes:
        yield Problem(
            place=Place(kind='set', field=ROUTES.key),
            reason='there is no route, so every request would be refused',
            remedy='add the routes, or check that this is the right file',
            severity=Severity.WARNING,
        )


def _find_unused(names: Collection[str], used: set[str]) -> list[str]:
    # A misspelt reference is refused already; a warning that the intended
    # name is unused would only be a consequence of it.
    if not used.issubset(names):
        return []
    return [name for name in names if name not in used]


def _unused(kind: Kind, name: str, user: Kind) -> Problem:
    return Problem(
        place=Place(kind=kind.word, name=name),
        reason=f'no {user.word} uses it',
        remedy=f'remove it, or add the {user.word} that was forgotten',
        severity=Severity.WARNING,
    )
