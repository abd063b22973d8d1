"""Rules on times and sizes that contradict each other."""

from collections.abc import Iterator

from goldcrestwharf.documents import Place, Problem
from goldcrestwharf.review._check_routes import place_of
from goldcrestwharf.review._registry import (
    ReviewContext,
    format_number,
    rule,
    warn,
)

_LIMITS = Place(kind='limits')


@rule('timeout-under-objective')
def find_short_timeouts(context: ReviewContext) -> Iterator[Problem]:
    """Yield a warning for each route that ends before its objective."""
    for route in context.snapshot.table.routes:
        timeout = format_number(route.timeout)
        objective = format_number(route.objective)
        if route.timeout < route.objective:
            yield warn(
                place_of(route),
                f'its timeout of {timeout} s is under its objective of'
                f' {objective} s',
                'raise the timeout or lower the objective',
            )


@rule('positive-limits')
def find_limits_that_admit_nothing(
    context: ReviewContext,
) -> Iterator[Problem]:
    """Yield a problem for each limit that no request can keep."""
    limits = context.snapshot.limits
    bounds = (
        ('size of heads', limits.max_head_bytes),
        ('timeout of heads', limits.head_timeout),
        ('timeout of idle connections', limits.idle_timeout),
    )
    for name, bound in bounds:
        if bound <= 0:
            yield Problem(
                place=_LIMITS,
                reason=f'the {name} is {bound}, so every request is refused',
                remedy='raise it above zero',
            )


@rule('bodies-of-bulk-routes')
def find_bulk_routes_without_bodies(
    context: ReviewContext,
) -> Iterator[Problem]:
    """Yield a warning for each route whose uploads must be empty."""
    if context.snapshot.limits.max_body_bytes > 0:
        return
    for route in context.snapshot.table.routes:
        if route.is_bulk and not route.is_repeatable:
            yield warn(
                place_of(route),
                'it takes uploads, but the limits allow no body',
                'raise the limit on bodies',
            )
