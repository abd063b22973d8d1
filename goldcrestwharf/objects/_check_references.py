"""Check that objects refer to objects of the same set."""

from collections.abc import Iterator

from goldcrestwharf.documents import Place, Problem, Suggester
from goldcrestwharf.objects._kinds import ROUTES, SERVICES, TARGET_GROUPS, Kind
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._registry import check


@check('route-service-exists')
def find_missing_services(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each route whose service is not in the set."""
    suggester = Suggester(names=objects.services)
    for name, route in objects.routes.items():
        if route.service not in objects.services:
            place = Place(kind=ROUTES.word, name=name, field='service')
            yield _dangling(place, SERVICES, route.service, suggester)


@check('service-target-group-exists')
def find_missing_target_groups(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each service whose target group is missing."""
    suggester = Suggester(names=objects.target_groups)
    for name, service in objects.services.items():
        wanted = service.target_group
        if wanted not in objects.target_groups:
            place = Place(kind=SERVICES.word, name=name, field='target_group')
            yield _dangling(place, TARGET_GROUPS, wanted, suggester)


@check('service-split-exists')
def find_missing_split_groups(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each group of a split that is missing."""
    suggester = Suggester(names=objects.target_groups)
    for name, service in objects.services.items():
        for wanted in service.split:
            if wanted not in objects.target_groups:
                place = Place(kind=SERVICES.word, name=name, field='split')
                yield _dangling(place, TARGET_GROUPS, wanted, suggester)


def _dangling(
    place: Place,
    kind: Kind,
    wanted: str,
    suggester: Suggester,
) -> Problem:
    otherwise = f'add it under "{kind.key}" or correct the name'
    return Problem(
        place=place,
        reason=f'{kind.word} "{wanted}" is not in the set',
        remedy=suggester.remedy(wanted, otherwise),
    )
