"""Test the bound of a limit where messages and daemons are slow.

The load of all tests unless they say otherwise: 18 callers at six daemons
ask again 20 ms after each answer, under new ids, for ten times the limit.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from types import MappingProxyType

import pytest

from test.quotas.delayed_mesh import (
    COORDINATOR,
    NAMES,
    OTHERS,
    Conditions,
    Delay,
    DelayedMesh,
    Stall,
    VirtualLoop,
)
from test.quotas.random_case import RANDOM_ENDS_S, RandomCase, make_case

RATE = 40
CALLERS = 3
BEGINS_S = 3
ENDS_S = 15

Load = Callable[[DelayedMesh, str], Coroutine[None, None, None]]


def delay_randomly(longest: float) -> Delay:
    rng = random.Random('delays')
    return lambda *_: rng.uniform(0, longest)


def delay_answers(sender: str, _: str) -> float:
    """Let only what the coordinator sends come too late."""
    return 0.16 if sender == COORDINATOR else 0.002


def stall_randomly(
    names: Iterable[str], gap: float, length: float
) -> tuple[Stall, ...]:
    """Return stalls with the given means, independent of each other."""
    rng = random.Random('stalls')
    stalls = []
    for name in names:
        at: float = BEGINS_S
        while at < ENDS_S:
            begins = at + rng.uniform(0, 2 * gap)
            at = begins + rng.uniform(0, 2 * length)
            stalls.append(Stall(daemon=name, begins=begins, ends=at))
    return tuple(stalls)


def stall_together(names: Iterable[str], length: float) -> tuple[Stall, ...]:
    return tuple(
        Stall(daemon=name, begins=at, ends=at + length)
        for name in names
        for at in range(BEGINS_S, ENDS_S, 2)
    )


CONDITIONS = MappingProxyType(
    {
        'late grants': Conditions(delay=delay_randomly(0.06)),
        'grants around the timeout': Conditions(delay=delay_randomly(0.14)),
        'busy daemons': Conditions(
            delay=delay_randomly(0.03), stalls=stall_randomly(NAMES, 0.2, 0.1)
        ),
        'very busy daemons': Conditions(
            delay=delay_randomly(0.03), stalls=stall_randomly(NAMES, 0.4, 0.4)
        ),
        'late answers of the coordinator': Conditions(delay=delay_answers),
        'slow coordinator': Conditions(
            stalls=stall_randomly([COORDINATOR], 0.1, 0.2)
        ),
        'entries that use their grants together': Conditions(
            stalls=stall_together(OTHERS, 0.9)
        ),
        'pauses of the coordinator': Conditions(
            stalls=stall_together([COORDINATOR], 1.1)
        ),
        'restarts of the coordinator': Conditions(
            delay=delay_randomly(0.06),
            restarts=tuple((at, COORDINATOR) for at in range(5, ENDS_S)),
        ),
    }
)


def repeat_at_once(
    mesh: DelayedMesh, entry: str
) -> Coroutine[None, None, None]:
    return mesh.repeat_at_once(entry, ENDS_S)


def repeat_as_told(
    mesh: DelayedMesh, entry: str
) -> Coroutine[None, None, None]:
    return mesh.repeat_as_told(entry, ENDS_S)


async def play(conditions: Conditions, burst: float, load: Load) -> DelayedMesh:
    mesh = DelayedMesh(rate=RATE, burst=burst, conditions=conditions)
    await asyncio.sleep(BEGINS_S)
    callers = [load(mesh, name) for name in NAMES for _ in range(CALLERS)]
    await asyncio.gather(*callers)
    await mesh.close()
    return mesh


async def play_below_the_limit(conditions: Conditions) -> DelayedMesh:
    mesh = DelayedMesh(rate=RATE, burst=RATE, conditions=conditions)
    await asyncio.sleep(BEGINS_S)
    await mesh.load(0.8 * RATE, ENDS_S)
    await mesh.close()
    return mesh


def run(played: Coroutine[None, None, DelayedMesh]) -> DelayedMesh:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(played)


@pytest.mark.parametrize('load', [repeat_at_once, repeat_as_told])
@pytest.mark.parametrize('burst', [0, RATE])
@pytest.mark.parametrize('name', CONDITIONS)
def test_bound_holds_whatever_the_delays(
    name: str, burst: float, load: Load
) -> None:
    """Guards against tokens that add up beside the account.

    They did so on their way to callers that stay away, and at daemons that
    stand in for a coordinator that is slow but grants tokens too.
    """
    mesh = run(play(CONDITIONS[name], burst, load))
    assert mesh.find_excess() <= 1


async def play_at_random(case: RandomCase) -> DelayedMesh:
    mesh = DelayedMesh(
        rate=case.rate, burst=case.burst, conditions=case.conditions
    )
    await asyncio.sleep(BEGINS_S)
    callers = [
        asyncio.ensure_future(
            (mesh.repeat_as_told if is_patient else mesh.repeat_at_once)(
                name, RANDOM_ENDS_S
            )
        )
        for name in NAMES
        for is_patient in case.patience
    ]
    await asyncio.wait(callers, timeout=RANDOM_ENDS_S - BEGINS_S + 1)
    for caller in callers:
        caller.cancel()
    await mesh.close()
    return mesh


@pytest.mark.parametrize('seed', [25, 53, 168, 217, 287, 288])
def test_bound_holds_in_random_conditions(seed: int) -> None:
    """Plays the cases that came closest to the bound, or exceeded it."""
    mesh = run(play_at_random(make_case(seed)))
    assert mesh.find_excess() <= 1


def test_callers_that_return_at_once_leave_the_limit_in_use() -> None:
    """Guards against seconds without a run while all tokens are promised."""
    mesh = run(play(CONDITIONS['late grants'], RATE, repeat_at_once))
    counts = [mesh.count_runs(at, at + 1) for at in range(5, ENDS_S)]
    assert min(counts) >= 0.9 * RATE
    assert max(counts) <= 1.1 * RATE


@pytest.mark.parametrize('longest', [0.004, 0.06])
def test_requests_below_the_limit_are_let_in(longest: float) -> None:
    conditions = Conditions(delay=delay_randomly(longest))
    mesh = run(play_below_the_limit(conditions))
    assert len(mesh.runs) >= 0.99 * mesh.sent
