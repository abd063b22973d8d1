"""Run a demo on a running mesh."""

from collections.abc import Callable, Sequence

import httpx

from goldcrestwharf.admin import StatusDocument
from goldcrestwharf.demo._errors import DemoError
from goldcrestwharf.demo._mesh import Mesh
from goldcrestwharf.demo._plan import DemoPlan, DemoSummary
from goldcrestwharf.demo._requests import Load
from goldcrestwharf.publishing import OutcomeDocument, OutcomeKind

_TIMEOUT_S = 10
_TARGET_COUNT = 4
_MAX_FAILURES_SHOWN = 5

#: Receives a line of progress to print.
ProgressCallback = Callable[[str], None]


async def run_demo(plan: DemoPlan, report: ProgressCallback) -> DemoSummary:
    """Publish, send requests, change a route, and return the summary.

    Raises :class:`DemoError` if a set isn't published, a daemon doesn't
    answer, or the mesh doesn't converge in time.
    """
    async with httpx.AsyncClient(
        timeout=_TIMEOUT_S,
        trust_env=False,
    ) as client:
        mesh = Mesh(plan=plan, client=client)
        load = Load(plan=plan, client=client)
        await _send_first_requests(mesh, load, report)
        summary = await _change_route(mesh, load, report)
        await _publish_invalid_set(mesh, report)
    for failure in load.failures[:_MAX_FAILURES_SHOWN]:
        report(f'failed: {failure}')
    return summary


async def _send_first_requests(
    mesh: Mesh, load: Load, report: ProgressCallback
) -> None:
    await _publish(mesh, 'lunch.jsonc', report)
    await mesh.wait_for_targets(_TARGET_COUNT)
    await load.run('GET', '/menu/today')
    await load.run('POST', '/orders')
    answered = ', '.join(sorted(load.targets))
    report(f'answers came from {answered}')


async def _publish(mesh: Mesh, name: str, report: ProgressCallback) -> float:
    outcome = await mesh.publish(name)
    if outcome.outcome not in {OutcomeKind.PUBLISHED, OutcomeKind.UNCHANGED}:
        raise DemoError(
            reason=f'{name} was not published: {outcome.problems}',
            remedy='look at the logs of the daemons and of the platform',
        )
    convergence_s = await mesh.wait_for_version(outcome.version)
    daemons = len(mesh.plan.local_addresses)
    version = outcome.version
    report(f'{name}: version {version} in force on {daemons} daemons')
    return convergence_s


async def _change_route(
    mesh: Mesh, load: Load, report: ProgressCallback
) -> DemoSummary:
    before = _control_bytes(await mesh.statuses())
    convergence_s = await _publish(mesh, 'lunch-moved.jsonc', report)
    statuses = await mesh.statuses()
    await load.run('GET', '/lunch/today')
    version = statuses[0].daemon.version
    return DemoSummary(
        sent=load.sent,
        answered=load.answered,
        daemons=len(statuses),
        up_to_date=sum(status.daemon.version == version for status in statuses),
        version=version,
        convergence_s=convergence_s,
        control_bytes=_control_bytes(statuses) - before,
    )


async def _publish_invalid_set(mesh: Mesh, report: ProgressCallback) -> None:
    outcome: OutcomeDocument = await mesh.publish('lunch-bad.jsonc')
    report(f'lunch-bad.jsonc: {outcome.outcome}')
    for problem in outcome.problems:
        report(f'  {problem}')


def _control_bytes(statuses: Sequence[StatusDocument]) -> int:
    return sum(status.control_bytes_sent for status in statuses)
