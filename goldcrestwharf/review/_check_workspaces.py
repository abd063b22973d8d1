"""Rules on workspaces, their keys and their limits."""

from collections.abc import Iterator

from goldcrestwharf.documents import Place, Problem
from goldcrestwharf.review._check_routes import place_of
from goldcrestwharf.review._registry import (
    ReviewContext,
    format_number,
    rule,
    warn,
)
from goldcrestwharf.workspaces import Workspace


def _workspaces_of(context: ReviewContext) -> Iterator[tuple[Place, Workspace]]:
    table = context.snapshot.workspaces
    for workspace in () if table is None else table.workspaces:
        yield Place(kind='workspace', name=workspace.name), workspace


@rule('workspace-without-key')
def find_workspaces_without_key(context: ReviewContext) -> Iterator[Problem]:
    """Yield a warning for each workspace that nobody can use."""
    for place, workspace in _workspaces_of(context):
        if not workspace.key_digests:
            yield warn(
                place,
                'it has no key, so all of its requests are unauthorized',
                'add a key or remove the workspace',
            )


@rule('limit-below-burst')
def find_limits_below_burst(context: ReviewContext) -> Iterator[Problem]:
    """Yield a warning for each burst that exceeds a second of the limit."""
    for place, workspace in _workspaces_of(context):
        if workspace.rate is not None and workspace.burst > workspace.rate:
            burst = format_number(workspace.burst)
            rate = format_number(workspace.rate)
            yield warn(
                place,
                f'its burst of {burst} requests is above its limit'
                f' of {rate} a second',
                'raise the limit or lower the burst',
            )


@rule('burst-without-limit')
def find_bursts_without_limit(context: ReviewContext) -> Iterator[Problem]:
    """Yield a warning for each burst that has no effect."""
    for place, workspace in _workspaces_of(context):
        if workspace.rate is None and workspace.burst:
            burst = format_number(workspace.burst)
            yield warn(
                place,
                f'its burst of {burst} requests has no effect,'
                ' since it has no limit',
                'add a limit or remove the burst',
            )


@rule('public-without-workspaces')
def find_needless_public_routes(context: ReviewContext) -> Iterator[Problem]:
    """Yield a warning for each public route where no route needs a key."""
    if context.snapshot.workspaces is not None:
        return
    for route in context.snapshot.table.routes:
        if route.is_public:
            yield warn(
                place_of(route),
                'it is public, but there are no workspaces, so no route'
                ' needs a key',
                'remove the mark, or add the workspaces',
            )
