"""Test that requests which crash their targets stop reaching them."""

import asyncio
import random
from functools import partial

import pytest

from goldcrestwharf.discovery import InstanceState
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.proxy import HeaderNames
from goldcrestwharf.proxy._crash_exchange import CrashExchange
from goldcrestwharf.proxy._crash_messages import CrashReports
from goldcrestwharf.timers import ManualTimers
from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    Vm,
    is_linked,
    open_vm,
    open_vms,
    render,
    restart_crashed,
    send_request,
    wait_until,
)

CRASHING = b'/menu/crash'

#: Crashes after which the platform counts further runs of a request.
MAX_CRASHES = 3

ONE_ATTEMPT = make_snapshot(1, make_route(max_tries=1))


def is_crashing(req: Request) -> bool:
    return req.path.encode() == CRASHING


def never(_: Request) -> bool:
    return False


def fail(_: Request) -> Answer:
    return Answer(status=500, head=b'Answer-Proof: p\r\n')


def answer_without_proof(_: Request) -> Answer:
    return Answer(status=200)


def count_crashing(vms: list[Vm]) -> int:
    return sum(sum(is_crashing(req) for req in vm.target.runs) for vm in vms)


def are_linked(vms: list[Vm]) -> bool:
    names = {vm.daemon.core.cfg.name for vm in vms}
    return all(
        is_linked(vm, name)
        for vm in vms
        for name in names - {vm.daemon.core.cfg.name}
    )


def sees_all(entry: Vm, targets: list[Vm]) -> bool:
    names = {vm.daemon.core.cfg.name for vm in targets}
    others = names - {entry.daemon.core.cfg.name}
    return all(is_linked(entry, name) for name in others)


async def wait_for_links(vms: list[Vm]) -> None:
    await wait_until(lambda: are_linked(vms))


async def start_targets(vms: list[Vm]) -> None:
    for vm in vms:
        vm.target.crash.is_cause = is_crashing
        vm.send_heartbeat()
    await wait_for_links(vms)


async def send_crashing(vm: Vm, number: int) -> int:
    """Send the crashing request under another id; return the status."""
    message = render(path=CRASHING.decode(), request_id=f'c-{number}')
    return (await send_request(vm, message)).status


async def repeat_crashing(vms: list[Vm], count: int) -> list[int]:
    """Send the request to the daemons in turn while targets come back."""
    statuses = []
    for number in range(count):
        vm = vms[number % len(vms)]
        statuses.append(await send_crashing(vm, number))
        await restart_crashed(vms)
        await wait_for_links(vms)
    return statuses


async def test_crashing_request_stops_reaching_targets_at_any_daemon() -> None:
    async with open_vms(3, ONE_ATTEMPT) as vms:
        await start_targets(vms)
        statuses = await repeat_crashing(vms, 9)
        assert count_crashing(vms) <= MAX_CRASHES
        assert statuses[-1] == 503
        answers = [
            await send_request(vm, render(request_id=f'r-{number}'))
            for number, vm in enumerate(vms)
        ]
    assert [answer.status for answer in answers] == [200, 200, 200]


async def test_end_of_a_draining_target_is_no_crash() -> None:
    """A request is in progress, and the target is back at once."""
    async with open_vm(ONE_ATTEMPT) as vm:
        vm.send_heartbeat()
        vm.target.gate.clear()
        sending = asyncio.create_task(send_request(vm, render()))
        await wait_until(lambda: len(vm.target.runs) == 1)
        vm.send_heartbeat(InstanceState.DRAINING)
        vm.target.close()
        await vm.target.listen()
        vm.send_heartbeat()
        await sending
        assert vm.daemon.core.crash_exchange.make_reports() is None


async def test_quarantine_survives_the_daemon_that_saw_the_crash() -> None:
    async with open_vms(3, ONE_ATTEMPT) as vms:
        await start_targets(vms)
        await repeat_crashing(vms, MAX_CRASHES)
        gone, *left = vms
        gone.daemon.close()
        before = count_crashing(vms)
        await repeat_crashing(left, 4)
        assert count_crashing(vms) == before


async def test_quarantine_is_passed_on_to_a_daemon_that_joins_later() -> None:
    async with (
        open_vms(3, ONE_ATTEMPT) as vms,
        open_vm(ONE_ATTEMPT, 'late') as late,
    ):
        await start_targets(vms)
        await repeat_crashing(vms, MAX_CRASHES)
        late.target.crash.is_cause = is_crashing
        late.send_heartbeat()
        late.add_peer(vms[1])
        await wait_until(lambda: is_linked(late, 'vm-1'))
        await send_crashing(late, 100)
        assert not count_crashing([late])


async def test_lost_answers_of_living_targets_do_not_quarantine_a_request() -> (
    None
):
    async with open_vms(2, ONE_ATTEMPT) as vms:
        for vm in vms:
            vm.send_heartbeat()
            vm.target.answer = answer_without_proof
        await wait_for_links(vms)
        for number in range(8):
            await send_request(vms[0], render(request_id=f'r-{number}'))
        assert sum(len(vm.target.runs) for vm in vms) == 8


async def test_completed_request_is_no_suspect_of_earlier_crashes() -> None:
    beside = render(path='/menu/beside')
    async with open_vms(2, ONE_ATTEMPT) as vms:
        await start_targets(vms)
        exchange = vms[1].daemon.core.crash_exchange
        suspects = exchange.find_fingerprints(
            b'GET /menu/beside HTTP/1.1\r\nHost: shop.example\r\n'
            b'Caller-Service: kitchen\r\n',
            b'',
        )
        for _ in range(2):
            exchange.record_crash('i-vm-1', frozenset(suspects))
        assert (await send_request(vms[0], beside)).status == 200
        exchange.record_crash('i-vm-1', frozenset(suspects))
        assert (await send_request(vms[0], beside)).status == 200


async def test_crashing_request_of_callers_of_several_services_is_stopped() -> (
    None
):
    services = ('kitchen', 'bar', 'till', 'stock')
    async with open_vms(5, ONE_ATTEMPT, services=services) as vms:
        targets = [
            vm for vm in vms if vm.daemon.core.cfg.service == services[0]
        ]
        await start_targets(targets)
        for number in range(16):
            entry = vms[number % len(vms)]
            await wait_until(partial(sees_all, entry, targets))
            await send_crashing(entry, number)
            await restart_crashed(targets)
        assert count_crashing(vms) <= MAX_CRASHES


async def test_failed_answer_does_not_clear_a_crashing_request() -> None:
    async with open_vms(2, ONE_ATTEMPT) as vms:
        await start_targets(vms)
        await repeat_crashing(vms, 2)
        for vm in vms:
            vm.target.crash.is_cause = never
            vm.target.answer = fail
        assert await send_crashing(vms[0], 100) == 500
        for vm in vms:
            vm.target.crash.is_cause = is_crashing
        runs = count_crashing(vms)
        await repeat_crashing(vms, 6)
        assert count_crashing(vms) - runs <= 1


def test_answers_to_one_caller_do_not_clear_the_crashes_of_another() -> None:
    exchange = CrashExchange(
        names=HeaderNames(), clock=ManualTimers().now, rng=random.Random(1)
    )
    heads = [
        f'GET /menu/1 HTTP/1.1\r\nHost: a\r\nCaller-Service: {name}'.encode()
        for name in ('kitchen', 'bar')
    ]
    suspects = exchange.find_fingerprints(heads[0], b'')
    for _ in range(MAX_CRASHES):
        exchange.record_crash('i', frozenset(suspects))
        exchange.record_completion(heads[1], b'')
    refusals = [exchange.find_refusal(head, b'') for head in heads]
    assert [refusal is None for refusal in refusals] == [False, True]


def test_crash_under_load_does_not_fill_the_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    reports: list[CrashReports] = []
    owner, other = (
        CrashExchange(
            names=HeaderNames(),
            clock=ManualTimers().now,
            rng=random.Random(name),
        )
        for name in ('owner', 'other')
    )
    owner.watch(reports.append)
    for crash in range(2):
        suspects = [f'{number}-{crash}' for number in range(100)]
        owner.record_crash('i', frozenset(('crashing', *suspects)))
    caplog.clear()
    with caplog.at_level('INFO'):
        for report in reports:
            other.receive(report)
    assert caplog.messages == ['crash.reported']
