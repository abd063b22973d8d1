"""Create the VMs of a soak run and the routes that it publishes."""

import os
from pathlib import Path

import attrs

from test.helper import find_ports
from test.soak.fault_proxy import FaultProxy
from test.soak.records import Records
from test.soak.rollouts import NEW_VERSION, OLD_VERSION
from test.soak.vm import Ports, Target, Vm

ZONES = ('z-a', 'z-a', 'z-b', 'z-b')

#: Zones of the VMs of the new version.
_NEW_ZONES = ('z-a', 'z-b')
_TIMEOUT_MS = 700


def make_route_rule(
    version: int, *, is_repeatable: bool, is_bulk: bool = False
) -> dict[str, object]:
    """Return the route rule that a version adds."""
    if is_bulk:
        route_type = 'download' if is_repeatable else 'upload'
    else:
        route_type = 'idempotent' if is_repeatable else 'non_idempotent'
    return {
        'name': f'r-{version}-{is_repeatable}',
        'route_type': route_type,
        'target_latency': '300ms',
        'priority': 1,
        'match': {'path_prefix': f'/v/{version}/'},
        'action': {
            'service': 'kitchen',
            'timeout': f'{_TIMEOUT_MS}ms',
            'attempts': 3,
        },
    }


async def make_vms(
    folder: Path,
    records: Records,
    store: str,
) -> list[Vm]:
    """Return VMs whose daemons are not started yet.

    In runs with a roll-out, those of the new version follow after the others.
    """
    names = attrs.fields_dict(Ports)
    ports = Ports(**dict(zip(names, find_ports(len(names)), strict=True)))
    zones = ZONES if records.rollout is None else ZONES + _NEW_ZONES
    return [
        await make_vm(folder, number, zone, ports, records, store)
        for number, zone in enumerate(zones)
    ]


async def make_vm(
    folder: Path,
    number: int,
    zone: str,
    ports: Ports,
    records: Records,
    store: str,
) -> Vm:
    """Return a VM whose daemon is not started yet."""
    name = f'm-{number}'
    # Loopback addresses derived from the process id, so that concurrent
    # runs don't connect to each other.
    pid = os.getpid()
    parts = (127, 1 + pid % 250, 1 + pid // 250 % 250, 10 + number)
    host = '.'.join(map(str, parts))
    target = Target(
        name=name,
        records=records,
        control=f'{host}:{ports.control}',
        version=OLD_VERSION if number < len(ZONES) else NEW_VERSION,
    )
    await target.listen()
    proxies = [
        FaultProxy(target=store),
        FaultProxy(target=f'{host}:{ports.peers}'),
    ]
    for proxy in (*proxies, target.proxy):
        await proxy.listen()
    return Vm(
        name=name,
        zone=zone,
        host=host,
        ports=ports,
        folder=folder,
        target=target,
        store_proxy=proxies[0],
        peer_proxy=proxies[1],
    )
