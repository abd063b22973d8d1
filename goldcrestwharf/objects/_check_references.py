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
            yield _missing_reference(place, SERVICES, route.service, suggester)


@check('service-target-group-exists')
def find_missing_target_groups(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each service whose target group is missing."""
    suggester = Suggester(names=objects.target_groups)
    for name, service in objects.services.items():
        group_name = service.target_group
        if group_name not in objects.target_groups:
            place = Place(kind=SERVICES.word, name=name, field='target_group')
            yield _missing_reference(
                place, TARGET_GROUPS, group_name, suggester
            )


@check('service-split-exists')
def find_missing_split_groups(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each group of a split that is missing."""
    suggester = Suggester(names=objects.target_groups)
    for name, service in objects.services.items():
        for group_name in service.split:
            if group_name not in objects.target_groups:
                place = Place(kind=SERVICES.word, name=name, field='split')
                yield _missing_reference(
                    place, TARGET_GROUPS, group_name, suggester
                )


def _missing_reference(
    place: Place,
    kind: Kind,
    name: str,
    suggester: Suggester,
) -> Problem:
    default_remedy = f'add it under "{kind.key}" or correct the name'
    return Problem(
        place=place,
        reason=f'{kind.word} "{name}" is not in the set',
        remedy=suggester.remedy(name, default_remedy),
    )
