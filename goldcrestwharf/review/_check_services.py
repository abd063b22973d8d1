"""Rules on services."""

from collections.abc import Iterator

from goldcrestwharf.documents import Place, Problem
from goldcrestwharf.review._check_routes import place_of
from goldcrestwharf.review._registry import ReviewContext, rule, warn


@rule('unused-service')
def find_unused_services(context: ReviewContext) -> Iterator[Problem]:
    """Yield a warning for each service that no route leads to."""
    used: set[str] = set()
    for route in context.snapshot.table.routes:
        used |= route.services
    for service in sorted(context.snapshot.services - used):
        yield warn(
            Place(kind='service', name=service),
            'no route leads to it',
            'remove it or add a route',
        )


@rule('attempts-over-targets')
def find_excess_attempts(context: ReviewContext) -> Iterator[Problem]:
    """Yield a warning for each route with more attempts than targets.

    Each attempt goes to another target, so the further ones never happen.
    """
    for route in context.snapshot.table.routes:
        for service in sorted(route.services):
            targets = context.target_counts.get(service)
            if targets is not None and route.max_tries > targets:
                yield warn(
                    place_of(route),
                    f'it allows {route.max_tries} attempts, but service'
                    f' "{service}" has {targets} targets',
                    'lower the attempts or add targets',
                )
