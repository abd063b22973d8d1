# flake8: noqa
"""A heartbeat of another writer comes that can't be read."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standins-2'))

import lab
import wire

CALLERS = 20
WORK_S = 0.4
TIMEOUT_S = 1.5
#: What the rule adds to the timeout; the late requests that it allows, and their
#: share of those that last longer than the timeout.
LATE_S = 0.5
ALLOWED = 7
ALLOWED_SHARE = 0.25
#: Digits of a time that has no unit.
DIGITS = 60_000


class Caller:
    """Caller that sends a request each time that the last one is answered."""

    def __init__(self, deployment, machine):
        self.deployment, self.machine = deployment, machine
        self.answered = 0
        self.long = 0
        self.late = 0

    async def run(self):
        number = 0
        while True:
            number += 1
            began_at = wire.now()
            _, status, _, _ = await self.deployment.send(
                self.machine, f'/menu/{number}',
                deadline_ms=int((TIMEOUT_S + 1) * 1000),
            )
            elapsed = wire.now() - began_at
            self.answered += bool(status)
            self.long += elapsed > TIMEOUT_S
            self.late += elapsed > TIMEOUT_S + LATE_S


async def send_odd_heartbeat(machine):
    """Send a heartbeat with a time that can't be read."""
    upstream = machine.upstream
    document = {
        'address': upstream.address,
        'born': upstream.born,
        'info': {'service': upstream.service, 'version': 'v1',
                 'zone': upstream.zone, 'slot_count': 10},
        'status': {'state': 'ready', 'sequence': 9,
                   'warmup_left': '0' * DIGITS},
    }
    machine.lab.note('odd heartbeat', to=machine.name, digits=DIGITS)
    status, _, _ = await wire.call(
        machine.host, machine.ports['control'], 'POST',
        f'/-/instances/{upstream.instance}/heartbeat',
        [('Host', 'x'), ('Content-Type', 'application/json')],
        json.dumps(document).encode(), timeout=60,
    )
    machine.lab.note('odd heartbeat answered', status=status)


async def case(deployment, has_trouble):
    for zone in ('z-a', 'z-a', 'z-b', 'z-b'):
        deployment.add(zone, 'menu').upstream.work_s = WORK_S
    deployment.write_config(
        [('menu', 'idempotent', '/menu/', 'menu', '1500ms', 2)], ['menu']
    )
    await deployment.start()
    await asyncio.sleep(lab.CONTACT_S)
    entry = deployment.machines[0]
    callers = [Caller(deployment, entry) for _ in range(CALLERS)]
    tasks = [asyncio.create_task(one.run()) for one in callers]
    await asyncio.sleep(3)
    if has_trouble:
        tasks.append(asyncio.create_task(send_odd_heartbeat(entry)))
    await asyncio.sleep(5)
    for task in tasks:
        task.cancel()
    late = sum(one.late for one in callers)
    long = sum(one.long for one in callers)
    answered = sum(one.answered for one in callers)
    deployment.note(
        'callers', answered=answered, longer_than_timeout=long, late=late
    )
    if late <= ALLOWED or late <= long * ALLOWED_SHARE:
        return []
    return [f'{late} requests had no answer {LATE_S} s after their timeout']


if __name__ == '__main__':
    sys.exit(lab.play(case, Path(__file__).parent / 'record.txt'))
