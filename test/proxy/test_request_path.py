"""Test requests over daemons, streams and targets on loopback."""

import asyncio

import pytest

from goldcrestwharf.discovery import InstanceState
from goldcrestwharf.http1 import Answer, ExchangeError, Request
from goldcrestwharf.proxy import stop_gracefully
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    HANG_S,
    ask,
    find_link,
    is_linked,
    knows_draining,
    open_far,
    open_vm,
    open_vms,
    render,
    wait_until,
)

HANG_MS = HANG_S * 1000
ORDERS = make_snapshot(1, make_route(is_repeatable=False, timeout=2))
SLOW = make_snapshot(1, make_route(timeout=2, objective=1))


async def test_request_runs_on_the_own_target() -> None:
    async with open_vm() as vm:
        vm.beat()
        response = await ask(vm, render(body=b'soup'))
    assert response.status == 200
    assert response.body == b'done soup'
    assert response.find(b'answer-proof') == b'p'


async def test_request_runs_on_the_target_of_another_vm() -> None:
    async with open_vms(2) as vms:
        entry, owner = await open_far(vms)
        response = await ask(entry, render(method='POST', body=b'soup'))
        run = owner.target.runs[0]
    assert response.body == b'done soup'
    assert (run.method, run.target) == (b'POST', b'/menu/today')
    assert run.find(b'caller-service') == b'kitchen'
    assert run.find(b'expected-instance') == b'i-vm-1'
    assert 0 < int(run.find(b'deadline-ms') or 0) <= 400


@pytest.mark.parametrize(
    ('message', 'status'),
    [
        (render(path='/none/'), 404),
        (render().replace(b'Request-Id', b'Other-Id'), 400),
        (render().replace(b'Host', b'Host: b\r\nHost'), 400),
    ],
)
async def test_request_without_a_route_is_answered_at_once(
    message: bytes,
    status: int,
) -> None:
    async with open_vm() as vm:
        vm.beat()
        response = await ask(vm, message)
        assert not vm.target.runs
    assert response.status == status


async def test_service_without_a_target_is_refused_with_a_time() -> None:
    async with open_vm() as vm:
        response = await ask(vm, render())
    assert response.status == 503
    assert 0 < float(response.find(b'retry-after') or 0) <= 1


async def test_target_that_fails_is_replaced_for_a_repeatable_request() -> None:
    async with open_vms(2) as vms:
        entry, _ = await open_far(vms)
        entry.beat()
        entry.target.answer = lambda req: Answer(status=500)
        response = await ask(entry, render())
        assert len(entry.target.runs) == 1
    assert response.status == 200


async def test_target_that_fails_is_not_replaced_for_an_order() -> None:
    async with open_vms(2, ORDERS) as vms:
        entry, owner = await open_far(vms)
        entry.beat()
        entry.target.answer = lambda req: Answer(status=500)
        response = await ask(entry, render())
        assert len(entry.target.runs) + len(owner.target.runs) == 1
    assert response.status == 500


@pytest.mark.parametrize(
    'refusal',
    [
        Answer(status=503, head=b'Not-Run: 1\r\n'),
        Answer(status=421),
    ],
)
async def test_order_that_a_target_did_not_run_goes_elsewhere(
    refusal: Answer,
) -> None:
    async with open_vms(2, ORDERS) as vms:
        entry, owner = await open_far(vms)
        entry.beat()
        entry.target.answer = lambda req: refusal
        response = await ask(entry, render())
        assert len(owner.target.runs) == 1
    assert response.status == 200


async def test_success_without_proof_is_no_success() -> None:
    async with open_vm(ORDERS) as vm:
        vm.beat()
        vm.target.answer = lambda req: Answer(status=200, body=b'forged')
        response = await ask(vm, render())
    assert response.status == 502
    assert response.body == b''


async def test_target_that_is_down_is_refused_as_not_run() -> None:
    async with open_vm(ORDERS) as vm:
        vm.beat()
        vm.target.close()
        response = await ask(vm, render())
    assert response.status == 503


async def test_answer_at_the_deadline_promises_nothing() -> None:
    async with open_vm(ORDERS) as vm:
        vm.beat()
        vm.target.gate.clear()
        response = await ask(vm, render(deadline_ms=100))
    assert response.status in {502, 504}


async def test_caller_that_leaves_frees_the_target() -> None:
    async with open_vms(2, SLOW) as vms:
        entry, owner = await open_far(vms)
        owner.target.gate.clear()
        task = asyncio.create_task(ask(entry, render(deadline_ms=2000)))
        await wait_until(lambda: len(owner.target.runs) == 1)
        task.cancel()
        await wait_until(lambda: owner.target.cancelled == 1)
        await wait_until(lambda: owner.daemon.activity().in_flight == 0)


async def test_caller_that_leaves_is_told_of_at_both_ends(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    async with open_vms(2) as vms:
        entry, owner = await open_far(vms)
        owner.target.gate.clear()
        task = asyncio.create_task(ask(entry, render(deadline_ms=HANG_MS)))
        await wait_until(lambda: len(owner.target.runs) == 1)
        task.cancel()
        await wait_until(lambda: bool(owner.target.cancelled))
    events = [record.message for record in caplog.records]
    assert events.count('request.abandoned') == 1
    assert events.count('order.abandoned') == 1


async def test_order_survives_a_stream_that_breaks_while_it_runs() -> None:
    async with open_vms(2, ORDERS) as vms:
        entry, owner = await open_far(vms)
        owner.target.gate.clear()
        task = asyncio.create_task(ask(entry, render(deadline_ms=2000)))
        await wait_until(lambda: len(owner.target.runs) == 1)
        link = find_link(entry, 'vm-1')
        assert link is not None
        link.close()
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        owner.target.gate.set()
        response = await task
        assert len(owner.target.runs) == 1
    assert response.status == 200


async def test_order_whose_daemon_died_is_of_unknown_outcome() -> None:
    patient = make_route(is_repeatable=False, timeout=HANG_S * 2)
    async with open_vms(2, make_snapshot(1, patient)) as vms:
        entry, owner = await open_far(vms)
        owner.target.gate.clear()
        task = asyncio.create_task(ask(entry, render(deadline_ms=HANG_MS)))
        await wait_until(lambda: len(owner.target.runs) == 1)
        owner.daemon.close()
        response = await task
    # Told soon after the daemon is lost, long before the deadline.
    assert response.status == 502


async def test_draining_target_gets_nothing_once_others_know() -> None:
    async with open_vms(2) as vms:
        entry, owner = await open_far(vms)
        entry.beat()
        owner.beat(InstanceState.DRAINING)
        await wait_until(lambda: knows_draining(entry, 'vm-1'))
        for number in range(20):
            await ask(entry, render(request_id=f'r-{number}'))
        assert not owner.target.runs
        assert len(entry.target.runs) == 20


async def test_daemon_without_the_store_gets_the_version_from_a_peer() -> None:
    async with open_vms(2) as vms:
        behind, ahead = vms
        ahead.holder.offer(make_snapshot(8))
        await wait_until(lambda: behind.offered == [b'8'])


async def test_planned_stop_cuts_nothing_off() -> None:
    async with open_vms(2, SLOW) as vms:
        entry, owner = await open_far(vms)
        owner.target.gate.clear()
        tasks = [
            asyncio.create_task(
                ask(entry, render(request_id=f'r-{number}', deadline_ms=2000)),
            )
            for number in range(5)
        ]
        await wait_until(lambda: len(owner.target.runs) == 5)
        stopping = asyncio.create_task(stop_gracefully(entry.daemon))
        await wait_until(lambda: entry.daemon.core.shutdown.has_begun)
        late = await asyncio.gather(
            ask(owner, render(request_id='r-own')),
            return_exceptions=True,
        )
        owner.target.gate.set()
        responses = await asyncio.gather(*tasks)
        await stopping
    assert {response.status for response in responses} == {200}
    assert all(not response.can_reuse for response in responses)
    assert not isinstance(late[0], ExchangeError)


async def test_garbled_answers_never_reach_a_caller() -> None:
    async with open_vm() as vm:
        vm.beat()

        def answer(req: Request) -> Answer:
            if len(vm.target.runs) % 2:
                return vm.target.succeed(req)
            return Answer(
                status=200,
                head=b'Request-Id: other\r\nAnswer-Proof: p\r\n',
                body=b'of another request',
            )

        vm.target.answer = answer
        for number in range(6):
            response = await ask(
                vm,
                render(request_id=f'r-{number}', deadline_ms=100),
            )
            assert response.body in {b'done ', b''}
