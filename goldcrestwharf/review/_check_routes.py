"""Rules on routes that can never match, and on parts that get nothing."""

from collections.abc import Iterator

from goldcrestwharf.documents import Place, Problem
from goldcrestwharf.policy import RoutePolicy
from goldcrestwharf.review._registry import ReviewContext, rule, warn

#: Characters that no path of a request contains: the query and the fragment
#: are not part of it.
_NEVER_IN_PATHS = ('?', '#', ' ')


def place_of(route: RoutePolicy) -> Place:
    """Return the place of a route."""
    return Place(kind='route', name=route.name)


@rule('duplicate-prefix')
def find_duplicate_prefixes(context: ReviewContext) -> Iterator[Problem]:
    """Yield a problem for each route that a later one replaces."""
    last: dict[tuple[str, str], RoutePolicy] = {}
    for route in context.snapshot.table.routes:
        key = (route.host.lower(), route.path_prefix)
        earlier = last.get(key)
        if earlier is not None:
            yield Problem(
                place=place_of(earlier),
                reason=(
                    f'it never matches, since route "{route.name}" has the'
                    f' same host and prefix {route.path_prefix}'
                ),
                remedy='remove one of the two, or change its prefix',
            )
        last[key] = route


@rule('impossible-prefix')
def find_impossible_prefixes(context: ReviewContext) -> Iterator[Problem]:
    """Yield a problem for each prefix that no path begins with."""
    for route in context.snapshot.table.routes:
        found = [char for char in _NEVER_IN_PATHS if char in route.path_prefix]
        if found:
            yield Problem(
                place=place_of(route),
                reason=(
                    f'it never matches, since no path contains {found[0]!r}'
                ),
                remedy='leave the query and the fragment out of the prefix',
            )


@rule('long-prefix')
def find_long_prefixes(context: ReviewContext) -> Iterator[Problem]:
    """Yield a problem for each prefix that exceeds the limit on heads."""
    limit = context.snapshot.limits.max_head_bytes
    for route in context.snapshot.table.routes:
        if len(route.path_prefix) >= limit:
            yield Problem(
                place=place_of(route),
                reason=(
                    'it never matches, since its prefix is longer than the'
                    f' {limit} bytes that the head of a request may have'
                ),
                remedy='shorten the prefix or raise the limit',
            )


@rule('zero-weight')
def find_zero_weights(context: ReviewContext) -> Iterator[Problem]:
    """Yield a warning for each part of a split that gets no requests."""
    for route in context.snapshot.table.routes:
        for service, weight in route.weights:
            if not weight:
                yield warn(
                    place_of(route),
                    f'its part for service "{service}" has weight 0 and gets'
                    ' no requests',
                    'remove the part or give it a weight',
                )
