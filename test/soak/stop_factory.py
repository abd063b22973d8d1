"""Create the VMs of a run of planned stops and the routes to them."""

import os
import random
from functools import partial
from pathlib import Path

from test.soak.fault_proxy import FaultProxy
from test.soak.stop_caller import HOST_NAME, TIMEOUTS_S, StopCaller
from test.soak.stop_raw_caller import RawCaller
from test.soak.stop_records import StopRecords
from test.soak.stop_target import StopTarget
from test.soak.stop_traffic import MAX_BODY_BYTES, RAW_TRAFFIC, Traffic
from test.soak.stop_vm import StopVm
from test.soak.vm import Ports

#: Zones of the VMs.
ZONES = ('z-a',) * 4 + ('z-b',) * 3 + ('z-c',) * 3 + ('z-d',) * 3
SERVICES = ('kitchen', 'bar', 'cellar')

_OBJECTIVE_MS = 600


def make_listeners(version: int) -> list[dict[str, object]]:
    """Return the routes of a version, which adds one to the others."""
    rules = []
    for service in SERVICES:
        for timeout in TIMEOUTS_S:
            rules.append(make_rule('get', service, timeout))
            rules.append(make_rule('order', service, timeout))
    added = make_rule('get', SERVICES[0], TIMEOUTS_S[0])
    added['name'] = f'added-{version}'
    added['match'] = {'path_prefix': f'/added/{version}/'}
    return [{'host': HOST_NAME, 'route_rules': [*rules, added]}]


def make_limits() -> dict[str, object]:
    """Return the limits on what callers send."""
    return {
        'max_header_bytes': 16384,
        'max_body_bytes': MAX_BODY_BYTES,
        'header_timeout': '3000ms',
        'idle_timeout': '15s',
    }


def make_rule(kind: str, service: str, timeout: int) -> dict[str, object]:
    is_repeatable = kind == 'get'
    return {
        'name': f'{kind}-{service}-{timeout}',
        'route_type': 'idempotent' if is_repeatable else 'non_idempotent',
        'target_latency': f'{_OBJECTIVE_MS}ms',
        'priority': 1,
        'match': {'path_prefix': f'/{kind}/{service}/{timeout}/'},
        'action': {
            'service': service,
            'timeout': f'{timeout}s',
            'attempts': 3,
        },
    }


async def make_vm(
    number: int,
    zone: str,
    *,
    records: StopRecords,
    store: str,
    ports: Ports,
    folder: Path,
    source: Path,
    has_proxy: bool,
) -> StopVm:
    """Return a VM whose daemon is not started yet."""
    # Loopback addresses derived from the process id, so that concurrent
    # runs don't connect to each other.
    pid = os.getpid()
    parts = (127, 1 + pid % 250, 1 + pid // 250 % 250, 10 + number)
    host = '.'.join(map(str, parts))
    name = f'm-{number}'
    service = SERVICES[number % len(SERVICES)]
    target = StopTarget(
        vm=name,
        service=service,
        records=records,
        control=f'{host}:{ports.control}',
    )
    await target.listen()
    proxy = None
    if has_proxy:
        proxy = FaultProxy(target=f'{host}:{ports.peers}')
        await proxy.listen()
    vm = StopVm(
        name=name,
        zone=zone,
        service=service,
        host=host,
        ports=ports,
        folder=folder,
        source=source,
        store=store,
        records=records,
        target=target,
        peer_proxy=proxy,
    )
    target.call_on = partial(_call_on, vm, random.Random(number))
    return vm


def make_caller(
    vm: StopVm,
    traffic: Traffic,
    *,
    rng: random.Random,
    heeds_readiness: bool,
) -> StopCaller:
    """Return a caller that sends the given traffic to a VM's daemon."""
    kind = RawCaller if traffic in RAW_TRAFFIC else StopCaller
    return kind(
        vm=vm,
        services=SERVICES,
        records=vm.records,
        rng=rng,
        heeds_readiness=heeds_readiness,
        traffic=traffic,
    )


async def _call_on(vm: StopVm, rng: random.Random) -> None:
    """Send a request as the target of a VM, on a connection of its own."""
    caller = make_caller(vm, Traffic.SINGLE, rng=rng, heeds_readiness=False)
    try:
        await caller.send_one()
    finally:
        caller.close()
