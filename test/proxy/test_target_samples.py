"""Test what daemons record of the use of the slots of their targets."""

import asyncio

import attrs
import pytest

from goldcrestwharf.capacity import CapacityLimit, SlotSample
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.proxy._target_calls import TargetCalls
from test.helper import make_rng
from test.policy.helper import make_snapshot
from test.proxy.helper import open_vm, render, send_request, wait_until

SLOTS = 7


@pytest.mark.parametrize(('caller', 'count'), [('10.0.0.1', 1), ('10.1', 0)])
async def test_calls_of_the_target_are_counted(caller: str, count: int) -> None:
    calls = TargetCalls(host='10.0.0.1', clock=make_rng().random)
    seen = []

    async def answer(_: Request) -> Answer:
        seen.append(calls.meter.count)
        return Answer(status=200)

    req = Request(
        method=b'GET',
        target=b'/',
        headers=[],
        body=b'',
        received_at=0,
        has_body=False,
        wants_close=False,
        caller=caller,
    )
    await calls.count(answer)(req)
    assert seen == [count]
    assert calls.meter.count == 0


async def test_daemon_records_each_release_of_a_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    samples: list[SlotSample] = []
    monkeypatch.setattr(
        CapacityLimit, 'record', lambda _, sample: samples.append(sample)
    )
    snapshot = attrs.evolve(make_snapshot(1), has_bulk_routes=True)
    async with open_vm(snapshot) as vm:
        vm.send_heartbeat(slots=SLOTS)
        vm.target.gate.clear()
        sending = [
            asyncio.create_task(
                send_request(vm, render(request_id=f'r-{name}'))
            )
            for name in range(2)
        ]
        await wait_until(lambda: len(vm.target.runs) == 2)
        vm.target.gate.set()
        await asyncio.gather(*sending)
        assert vm.daemon._local_target.report().slots == SLOTS
    assert [sample.outcome for sample in samples] == ['answered', 'answered']
    assert {sample.in_use_at_start for sample in samples} == {1, 2}
    # The callers of this test have the address of the target.
    assert all(sample.mean_calls > 0 for sample in samples)
