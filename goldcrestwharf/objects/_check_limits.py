"""Check that the limits of an object are consistent with each other."""

from collections.abc import Iterator

import attrs

from goldcrestwharf.documents import Place, Problem, Severity
from goldcrestwharf.objects._kinds import ROUTES, SERVICES, TARGET_GROUPS
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._registry import check

_HUNDRED_PERCENT = 100
_MAX_QUEUE_PER_SLOT = 50
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@check('target-group-connections-suffice', is_local=True)
def find_too_few_connections(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each group with more slots than connections."""
    for name, group in objects.target_groups.items():
        place = Place(kind=TARGET_GROUPS.word, name=name)
        if group.connections < group.slots:
            yield Problem(
                place=place.within('connections'),
                reason=(
                    f'connections is {group.connections}, '
                    f'fewer than the {group.slots} slots'
                ),
                remedy=f'allow {group.slots} connections or use fewer slots',
                related=(place.within('slots'),),
            )


@check('target-group-queue-short', is_local=True, is_advisory=True)
def find_long_queues(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a warning for each queue that is long for its slots."""
    for name, group in objects.target_groups.items():
        place = Place(kind=TARGET_GROUPS.word, name=name)
        max_queue = group.slots * _MAX_QUEUE_PER_SLOT
        if group.queue > max_queue:
            yield Problem(
                place=place.within('queue'),
                reason=(
                    f'queue is {group.queue}, more than '
                    f'{_MAX_QUEUE_PER_SLOT} for each of {group.slots} slots'
                ),
                remedy=f'set queue to {max_queue} at most',
                severity=Severity.WARNING,
                related=(place.within('slots'),),
            )


@check('target-group-keeps-targets', is_local=True, is_advisory=True)
def find_unbounded_ejection(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a warning for each group that may lose all of its targets."""
    for name, group in objects.target_groups.items():
        if group.max_ejected_percent == _HUNDRED_PERCENT:
            yield Problem(
                place=Place(
                    kind=TARGET_GROUPS.word,
                    name=name,
                    field='max_ejected_percent',
                ),
                reason='all of its targets may be ejected at once',
                remedy='set max_ejected_percent to 50 or so',
                severity=Severity.WARNING,
            )


@check('service-split-adds-up', is_local=True)
def find_bad_splits(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each split over 100 % or to the service's group."""
    for name, service in objects.services.items():
        place = Place(kind=SERVICES.word, name=name, field='split')
        total = sum(service.split.values())
        if total > _HUNDRED_PERCENT:
            yield Problem(
                place=place,
                reason=f'the shares of split add up to {total} %',
                remedy='lower them to 100 % together at most',
            )
        if service.target_group in service.split:
            yield Problem(
                place=place,
                reason=f'split names its own "{service.target_group}"',
                remedy='remove it: it gets the remaining requests',
                related=(attrs.evolve(place, field='target_group'),),
            )


@check('service-tries-have-budget', is_local=True, is_advisory=True)
def find_tries_without_budget(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a warning for each service that allows retries without budget."""
    for name, service in objects.services.items():
        place = Place(kind=SERVICES.word, name=name)
        if service.max_tries > 1 and service.retry_budget_percent == 0:
            yield Problem(
                place=place.within('max_tries'),
                reason=(
                    f'max_tries is {service.max_tries}, but '
                    'retry_budget_percent is 0'
                ),
                remedy='set max_tries to 1 or allow a budget',
                severity=Severity.WARNING,
                related=(place.within('retry_budget_percent'),),
            )


@check('route-repeats-safely', is_local=True, is_advisory=True)
def find_unsafe_retries(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a warning for each route whose unsafe requests may run twice."""
    for name, route in objects.routes.items():
        place = Place(kind=ROUTES.word, name=name)
        is_safe = route.methods and _SAFE_METHODS.issuperset(route.methods)
        if route.repeatable and not is_safe:
            yield Problem(
                place=place.within('repeatable'),
                reason='repeatable is true, so an order may run twice',
                remedy='leave it out unless targets are idempotent',
                severity=Severity.WARNING,
                related=(place.within('methods'),),
            )
