"""Build the machines of a play, and the routes that it publishes."""

import os
from pathlib import Path

import attrs

from test.helper import find_ports
from test.soak.gate import Gate
from test.soak.machine import Machine, Ports, Target
from test.soak.records import Records

ZONES = ('z-a', 'z-a', 'z-b', 'z-b')
_TIMEOUT_MS = 700


def make_rule(version: int, *, is_repeatable: bool) -> dict[str, object]:
    """Return the route that a version adds."""
    return {
        'name': f'r-{version}-{is_repeatable}',
        'route_type': 'idempotent' if is_repeatable else 'non_idempotent',
        'target_latency': '300ms',
        'priority': 1,
        'match': {'path_prefix': f'/v/{version}/'},
        'action': {
            'service': 'kitchen',
            'timeout': f'{_TIMEOUT_MS}ms',
            'attempts': 3,
        },
    }


async def make_machines(
    folder: Path,
    records: Records,
    store: str,
) -> list[Machine]:
    """Return machines whose daemons are yet to be started."""
    names = attrs.fields_dict(Ports)
    ports = Ports(**dict(zip(names, find_ports(len(names)), strict=True)))
    return [
        await make_machine(folder, number, zone, ports, records, store)
        for number, zone in enumerate(ZONES)
    ]


async def make_machine(
    folder: Path,
    number: int,
    zone: str,
    ports: Ports,
    records: Records,
    store: str,
) -> Machine:
    """Return a machine whose daemon is yet to be started."""
    name = f'm-{number}'
    # Loopback addresses of this process's own, so that plays don't meet.
    pid = os.getpid()
    parts = (127, 1 + pid % 250, 1 + pid // 250 % 250, 10 + number)
    host = '.'.join(map(str, parts))
    target = Target(
        name=name,
        records=records,
        control=f'{host}:{ports.control}',
    )
    await target.listen()
    gates = [
        Gate(target=store),
        Gate(target=f'{host}:{ports.peers}'),
        Gate(target=target.address),
    ]
    for gate in gates:
        await gate.listen()
    target.reported = gates[2].address
    return Machine(
        name=name,
        zone=zone,
        host=host,
        ports=ports,
        folder=folder,
        target=target,
        store=gates[0],
        peers=gates[1],
        upstream=gates[2],
    )
