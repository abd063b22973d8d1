"""Test requests through daemons, streams and targets on loopback."""

import asyncio

import pytest

from goldcrestwharf.discovery import InstanceState
from goldcrestwharf.http1 import Answer, ExchangeError, Request
from goldcrestwharf.proxy import stop_gracefully
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    TEST_TIMEOUT_S,
    find_link,
    is_linked,
    link_to_remote,
    open_vm,
    open_vms,
    render,
    sees_draining,
    send_request,
    wait_until,
)

TEST_TIMEOUT_MS = TEST_TIMEOUT_S * 1000
NON_REPEATABLE = make_snapshot(1, make_route(is_repeatable=False, timeout=2))
SLOW = make_snapshot(1, make_route(timeout=2, objective=1))


async def test_request_runs_on_the_local_target() -> None:
    async with open_vm() as vm:
        vm.send_heartbeat()
        response = await send_request(vm, render(body=b'soup'))
    assert response.status == 200
    assert response.body == b'done soup'
    assert response.find(b'answer-proof') == b'p'


async def test_request_runs_on_the_target_of_a_peer() -> None:
    async with open_vms(2) as vms:
        entry, remote = await link_to_remote(vms)
        response = await send_request(
            entry, render(method='POST', body=b'soup')
        )
        run = remote.target.runs[0]
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
async def test_request_that_cannot_be_routed_is_rejected(
    message: bytes,
    status: int,
) -> None:
    async with open_vm() as vm:
        vm.send_heartbeat()
        response = await send_request(vm, message)
        assert not vm.target.runs
    assert response.status == status


async def test_request_without_a_target_is_refused_with_retry_after() -> None:
    async with open_vm() as vm:
        response = await send_request(vm, render())
    assert response.status == 503
    assert 0 < float(response.find(b'retry-after') or 0) <= 1


async def test_failed_repeatable_request_is_retried_on_another_target() -> None:
    async with open_vms(2) as vms:
        entry, _ = await link_to_remote(vms)
        entry.send_heartbeat()
        entry.target.answer = lambda req: Answer(status=500)
        response = await send_request(entry, render())
        assert len(entry.target.runs) == 1
    assert response.status == 200


async def test_failed_non_repeatable_request_is_not_retried() -> None:
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, remote = await link_to_remote(vms)
        entry.send_heartbeat()
        entry.target.answer = lambda req: Answer(status=500)
        response = await send_request(entry, render())
        assert len(entry.target.runs) + len(remote.target.runs) == 1
    assert response.status == 500


@pytest.mark.parametrize(
    'refusal',
    [
        Answer(status=503, head=b'Not-Run: 1\r\n'),
        Answer(status=421),
    ],
)
async def test_non_repeatable_request_that_did_not_run_is_retried(
    refusal: Answer,
) -> None:
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, remote = await link_to_remote(vms)
        entry.send_heartbeat()
        entry.target.answer = lambda req: refusal
        response = await send_request(entry, render())
        assert len(remote.target.runs) == 1
    assert response.status == 200


async def test_success_without_proof_becomes_bad_gateway() -> None:
    async with open_vm(NON_REPEATABLE) as vm:
        vm.send_heartbeat()
        vm.target.answer = lambda req: Answer(status=200, body=b'forged')
        response = await send_request(vm, render())
    assert response.status == 502
    assert response.body == b''


async def test_request_for_a_target_that_is_down_is_refused() -> None:
    async with open_vm(NON_REPEATABLE) as vm:
        vm.send_heartbeat()
        vm.target.close()
        response = await send_request(vm, render())
    assert response.status == 503


async def test_timed_out_request_has_an_unknown_outcome() -> None:
    async with open_vm(NON_REPEATABLE) as vm:
        vm.send_heartbeat()
        vm.target.gate.clear()
        response = await send_request(vm, render(deadline_ms=100))
    assert response.status in {502, 504}


async def test_disconnect_of_the_caller_cancels_the_request_at_the_target() -> (
    None
):
    async with open_vms(2, SLOW) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        task = asyncio.create_task(
            send_request(entry, render(deadline_ms=2000))
        )
        await wait_until(lambda: len(remote.target.runs) == 1)
        task.cancel()
        await wait_until(lambda: remote.target.cancelled == 1)
        await wait_until(lambda: remote.daemon.activity().in_flight == 0)


async def test_disconnect_of_the_caller_is_logged_by_both_daemons(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    async with open_vms(2) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        task = asyncio.create_task(
            send_request(entry, render(deadline_ms=TEST_TIMEOUT_MS))
        )
        await wait_until(lambda: len(remote.target.runs) == 1)
        task.cancel()
        await wait_until(lambda: bool(remote.target.cancelled))
    events = [record.message for record in caplog.records]
    assert events.count('request.abandoned') == 1
    assert events.count('order.abandoned') == 1


async def test_non_repeatable_request_survives_a_broken_stream() -> None:
    async with open_vms(2, NON_REPEATABLE) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        task = asyncio.create_task(
            send_request(entry, render(deadline_ms=2000))
        )
        await wait_until(lambda: len(remote.target.runs) == 1)
        link = find_link(entry, 'vm-1')
        assert link is not None
        link.close()
        await wait_until(lambda: is_linked(entry, 'vm-1'))
        remote.target.gate.set()
        response = await task
        assert len(remote.target.runs) == 1
    assert response.status == 200


async def test_non_repeatable_request_fails_early_if_its_daemon_is_lost() -> (
    None
):
    long_timeout = make_route(is_repeatable=False, timeout=TEST_TIMEOUT_S * 2)
    async with open_vms(2, make_snapshot(1, long_timeout)) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        task = asyncio.create_task(
            send_request(entry, render(deadline_ms=TEST_TIMEOUT_MS))
        )
        await wait_until(lambda: len(remote.target.runs) == 1)
        remote.daemon.close()
        response = await task
    # The answer comes soon after the loss, long before the deadline.
    assert response.status == 502


async def test_draining_target_gets_no_requests_from_daemons_that_know() -> (
    None
):
    async with open_vms(2) as vms:
        entry, remote = await link_to_remote(vms)
        entry.send_heartbeat()
        remote.send_heartbeat(InstanceState.DRAINING)
        await wait_until(lambda: sees_draining(entry, 'vm-1'))
        for number in range(20):
            await send_request(entry, render(request_id=f'r-{number}'))
        assert not remote.target.runs
        assert len(entry.target.runs) == 20


async def test_daemon_without_the_store_fetches_the_version_from_a_peer() -> (
    None
):
    async with open_vms(2) as vms:
        behind, ahead = vms
        ahead.holder.offer(make_snapshot(8))
        await wait_until(lambda: behind.offered == [b'8'])


async def test_graceful_stop_answers_all_running_requests() -> None:
    async with open_vms(2, SLOW) as vms:
        entry, remote = await link_to_remote(vms)
        remote.target.gate.clear()
        tasks = [
            asyncio.create_task(
                send_request(
                    entry, render(request_id=f'r-{number}', deadline_ms=2000)
                ),
            )
            for number in range(5)
        ]
        await wait_until(lambda: len(remote.target.runs) == 5)
        shutdown = asyncio.create_task(stop_gracefully(entry.daemon))
        await wait_until(lambda: entry.daemon.core.shutdown.has_begun)
        late_answers = await asyncio.gather(
            send_request(remote, render(request_id='r-own')),
            return_exceptions=True,
        )
        remote.target.gate.set()
        responses = await asyncio.gather(*tasks)
        await shutdown
    assert {response.status for response in responses} == {200}
    assert all(not response.can_reuse for response in responses)
    assert not isinstance(late_answers[0], ExchangeError)


async def test_answers_to_other_requests_never_reach_a_caller() -> None:
    async with open_vm() as vm:
        vm.send_heartbeat()

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
            response = await send_request(
                vm,
                render(request_id=f'r-{number}', deadline_ms=100),
            )
            assert response.body in {b'done ', b''}
