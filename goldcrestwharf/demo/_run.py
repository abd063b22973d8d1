"""Run a demo against a mesh that is up."""

from collections.abc import Callable, Sequence

import httpx

from goldcrestwharf.admin import StatusDocument
from goldcrestwharf.demo._errors import DemoError
from goldcrestwharf.demo._mesh import Mesh
from goldcrestwharf.demo._plan import DemoPlan, DemoSummary
from goldcrestwharf.demo._requests import Load
from goldcrestwharf.publishing import OutcomeDocument, OutcomeKind

_TIMEOUT_S = 10
_TARGETS = 4
_SHOWN = 5

#: Print one line of progress.
Tell = Callable[[str], None]


async def run_demo(plan: DemoPlan, tell: Tell) -> DemoSummary:
    """Publish, send requests, change a route, and return the summary.

    Raises :class:`DemoError` if the mesh doesn't do its part.
    """
    async with httpx.AsyncClient(
        timeout=_TIMEOUT_S,
        trust_env=False,
    ) as client:
        mesh = Mesh(plan=plan, client=client)
        load = Load(plan=plan, client=client)
        await _begin(mesh, load, tell)
        summary = await _change(mesh, load, tell)
        await _show_refusal(mesh, tell)
    for wrong in load.wrong[:_SHOWN]:
        tell(f'wrong: {wrong}')
    return summary


async def _begin(mesh: Mesh, load: Load, tell: Tell) -> None:
    await _publish(mesh, 'lunch.jsonc', tell)
    await mesh.wait_for_targets(_TARGETS)
    await load.run('GET', '/menu/today')
    await load.run('POST', '/orders')
    answered = ', '.join(sorted(load.targets))
    tell(f'answers came from {answered}')


async def _publish(mesh: Mesh, name: str, tell: Tell) -> float:
    outcome = await mesh.publish(name)
    if outcome.outcome not in {OutcomeKind.PUBLISHED, OutcomeKind.UNCHANGED}:
        raise DemoError(
            reason=f'{name} was not published: {outcome.problems}',
            remedy='look at the logs of the daemons and of the platform',
        )
    convergence = await mesh.wait_for_version(outcome.version)
    daemons = len(mesh.plan.local)
    version = outcome.version
    tell(f'{name}: version {version} in force on {daemons} daemons')
    return convergence


async def _change(mesh: Mesh, load: Load, tell: Tell) -> DemoSummary:
    before = _control_bytes(await mesh.statuses())
    convergence = await _publish(mesh, 'lunch-moved.jsonc', tell)
    statuses = await mesh.statuses()
    await load.run('GET', '/lunch/today')
    version = statuses[0].daemon.version
    return DemoSummary(
        sent=load.sent,
        answered=load.answered,
        daemons=len(statuses),
        current=sum(one.daemon.version == version for one in statuses),
        version=version,
        convergence=convergence,
        control_bytes=_control_bytes(statuses) - before,
    )


async def _show_refusal(mesh: Mesh, tell: Tell) -> None:
    outcome: OutcomeDocument = await mesh.publish('lunch-bad.jsonc')
    tell(f'lunch-bad.jsonc: {outcome.outcome}')
    for problem in outcome.problems:
        tell(f'  {problem}')


def _control_bytes(statuses: Sequence[StatusDocument]) -> int:
    return sum(one.control_bytes_sent for one in statuses)
