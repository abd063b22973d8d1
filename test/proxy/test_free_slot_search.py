"""Test that requests look for a free slot before they wait in a queue."""

import asyncio

import attrs
import pytest

from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    Vm,
    is_linked,
    open_vms,
    render,
    send_request,
    wait_until,
)

COUNT = 3


def send(vm: Vm, number: int) -> 'asyncio.Task[object]':
    message = render(request_id=f'r-{number}', deadline_ms=5000)
    return asyncio.ensure_future(send_request(vm, message))


@pytest.mark.parametrize('adapts', [True, False])
async def test_request_finds_the_slot_that_reports_do_not_show(
    adapts: bool,
) -> None:
    """Guards against a queue at one target while another one is idle.

    The load: three targets with one slot each, three requests at once from a
    daemon whose reports say that the busy targets are the fastest.
    """
    snapshot = attrs.evolve(
        make_snapshot(1, make_route(timeout=5, objective=3)),
        has_bulk_routes=adapts,
    )
    async with open_vms(1 + COUNT, snapshot) as vms:
        entry, *others = vms
        for vm in others:
            vm.send_heartbeat(slots=1)
            vm.target.gate.clear()
        names = [f'vm-{number}' for number in range(1, 1 + COUNT)]
        await wait_until(lambda: all(is_linked(entry, name) for name in names))
        pin_reports(entry)
        sent = [send(entry, number) for number in range(COUNT)]
        at_once = COUNT if adapts else 1
        await wait_until(lambda: count_runs(others) >= at_once)
        for vm in others:
            vm.target.gate.set()
        await asyncio.gather(*sent)
        used = sum(bool(vm.target.runs) for vm in others)
        assert (used == COUNT) is adapts


def count_runs(vms: list[Vm]) -> int:
    return sum(len(vm.target.runs) for vm in vms)


def pin_reports(entry: Vm) -> None:
    """Let the first target look idle and fast, whatever its load is."""
    for name, link in entry.daemon._fleet.links.items():
        load = link.target.load
        report = attrs.evolve(
            load.report,
            busy=0,
            slots=100 if name == 'vm-1' else 1,
            service_time=0.01 if name == 'vm-1' else 2,
        )
        load.update(report)
        load.update = lambda _: None  # type: ignore[method-assign]
