import anyio
import pytest
from anyio.abc import TaskGroup

from goldcrestwharf.limits import Refusal, RefusalReason, SlotGate, TargetLoad
from goldcrestwharf.timers import ManualTimers


class Requests:
    """Concurrent admissions to a gate and their results."""

    def __init__(self, gate: SlotGate, tg: TaskGroup) -> None:
        self.gate = gate
        self.tg = tg
        self.finished: dict[str, Refusal | None] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}

    async def start(
        self,
        *names: str,
        caller: str = 'a',
        remaining: float = 100,
    ) -> None:
        for name in names:
            self.tg.start_soon(self._run, name, caller, remaining)
        await anyio.wait_all_tasks_blocked()

    async def release(self, times: int = 1) -> None:
        for _ in range(times):
            self.gate.release(service_time=1)
        await anyio.wait_all_tasks_blocked()

    def reasons(self) -> dict[str, RefusalReason | None]:
        return {
            name: refusal.reason if refusal else None
            for name, refusal in self.finished.items()
        }

    async def _run(self, name: str, caller: str, remaining: float) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[name] = scope
            self.finished[name] = await self.gate.admit(
                remaining=remaining,
                caller=caller,
            )


def make_gate(
    *,
    slots: int = 1,
    queue: int = 2,
) -> tuple[SlotGate, ManualTimers]:
    timers = ManualTimers()
    gate = SlotGate(slots=slots, queue=queue, timers=timers)
    return gate, timers


async def record_service_time(gate: SlotGate, seconds: float) -> None:
    assert await gate.admit(remaining=1, caller='x') is None
    gate.release(service_time=seconds)


async def test_waiters_get_slots_in_order_of_arrival() -> None:
    gate, _ = make_gate(queue=3)
    async with anyio.create_task_group() as tg:
        requests = Requests(gate, tg)
        await requests.start('a', 'b', 'c')
        assert requests.reasons() == {'a': None}
        assert gate.load() == TargetLoad(in_use=1, queued=2, slots=1)
        await requests.release()
        assert requests.reasons() == {'a': None, 'b': None}
        await requests.release()
        assert requests.reasons() == {'a': None, 'b': None, 'c': None}


async def test_callers_are_served_round_robin() -> None:
    gate, _ = make_gate(queue=10)
    async with anyio.create_task_group() as tg:
        requests = Requests(gate, tg)
        await requests.start('n1', 'n2', 'n3', 'n4', caller='noisy')
        await requests.start('quiet', caller='quiet')
        await requests.release(times=4)
        assert list(requests.finished) == ['n1', 'n2', 'quiet', 'n3', 'n4']


async def test_full_queue_evicts_request_of_busiest_caller() -> None:
    gate, _ = make_gate(queue=2)
    async with anyio.create_task_group() as tg:
        requests = Requests(gate, tg)
        await requests.start('run', 'n1', 'n2', 'n3', caller='noisy')
        assert requests.reasons()['n3'] is RefusalReason.QUEUE_FULL
        await requests.start('q', caller='quiet')
        assert requests.reasons()['n2'] is RefusalReason.QUEUE_FULL
        assert 'q' not in requests.finished
        await requests.start('q2', caller='quiet')
        assert requests.reasons()['q2'] is RefusalReason.QUEUE_FULL
        gate.close()


@pytest.mark.parametrize(
    ('remaining', 'expected'),
    [
        (0, RefusalReason.DEADLINE_SPENT),
        (-1, RefusalReason.DEADLINE_SPENT),
        (0.9, RefusalReason.EXPECTED_WAIT),
    ],
)
async def test_request_that_cannot_be_served_in_time_is_refused(
    remaining: float,
    expected: RefusalReason,
) -> None:
    gate, _ = make_gate()
    await record_service_time(gate, 1)
    assert await gate.admit(remaining=10, caller='a') is None
    refusal = await gate.admit(remaining=remaining, caller='a')
    assert refusal is not None
    assert refusal.reason is expected


async def test_wait_ends_at_deadline() -> None:
    gate, timers = make_gate()
    async with anyio.create_task_group() as tg:
        requests = Requests(gate, tg)
        await requests.start('run')
        await requests.start('late', remaining=2)
        await timers.advance(1.9)
        assert 'late' not in requests.finished
        await timers.advance(0.2)
        assert requests.reasons()['late'] is RefusalReason.DEADLINE_SPENT
    assert gate.load() == TargetLoad(in_use=1, queued=0, slots=1)


async def test_close_refuses_queued_requests_only() -> None:
    gate, _ = make_gate()
    async with anyio.create_task_group() as tg:
        requests = Requests(gate, tg)
        await requests.start('a', 'b', 'c')
        gate.close()
        await anyio.wait_all_tasks_blocked()
        leaving = RefusalReason.LEAVING
        assert requests.reasons() == {'a': None, 'b': leaving, 'c': leaving}
        await requests.start('d')
        assert requests.reasons()['d'] is leaving
    gate.release(service_time=1)
    assert gate.load() == TargetLoad(in_use=0, queued=0, slots=1)


async def test_waiter_cancelled_in_turn_of_its_grant_frees_slot() -> None:
    gate, _ = make_gate()
    async with anyio.create_task_group() as tg:
        requests = Requests(gate, tg)
        await requests.start('run')
        await requests.start('gone')
        requests.scopes['gone'].cancel()
        await requests.release()
    in_use = gate.load().in_use
    assert (
        in_use
        == sum(refusal is None for refusal in requests.finished.values()) - 1
    )
    assert gate.load().queued == 0


async def test_resize_grants_new_slots_and_revokes_none() -> None:
    gate, _ = make_gate(queue=5)
    async with anyio.create_task_group() as tg:
        requests = Requests(gate, tg)
        await requests.start('a', 'b', 'c', 'd')
        gate.resize(3)
        await anyio.wait_all_tasks_blocked()
        assert len(requests.finished) == 3
        gate.resize(1)
        await requests.release()
        assert gate.load() == TargetLoad(in_use=2, queued=1, slots=1)
        gate.close()
