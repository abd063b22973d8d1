# flake8: noqa
"""A trial, no case: most runs of one workspace in any 5 s, and its limit.

Six daemons without any disruption; 18 callers that ask again at once,
whatever Retry-After says. Usage: quota.py SECONDS
"""

import asyncio
import json
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import mesh as m
from standins.http import call

VMS, CALLERS_PER_VM = 6, 3
RATE, BURST = 40, 40
WINDOW_S, OVER, SLACK = 5, 0.1, 20


def publish(mesh):
    document = {
        'version': 'r1',
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100_000,
            'header_timeout': '3s',
            'idle_timeout': '15s',
        },
        'listeners': [
            {
                'host': m.HOST_NAME,
                'route_rules': [m.make_rule('/menu/', 'kitchen')],
            }
        ],
        'clusters': [{'name': 'kitchen'}],
        'tenants': [
            {
                'name': 'alpha',
                'api_keys': ['key-of-alpha'],
                'rate_per_s': RATE,
                'burst': BURST,
            }
        ],
    }
    mesh.store.put('keyed.op', 'config', json.dumps(document).encode())


async def main(seconds):
    mesh = m.Mesh(HERE)
    sent_at, statuses = {}, Counter()
    ends_at = time.monotonic() + 5 + seconds

    async def use(vm):
        while time.monotonic() < ends_at:
            request_id, headers = m.make_headers(800)
            headers.append(('Authorization', 'Bearer key-of-alpha'))
            sent_at[request_id] = time.monotonic()
            answer = await call(vm.outbound, 'GET', '/menu/1', headers)
            statuses[answer.status if answer else 0] += 1
            await asyncio.sleep(0.02)

    try:
        await mesh.open(
            [(f'z-{number % 3}', 'kitchen') for number in range(VMS)],
            work_s=0.01,
        )
        publish(mesh)
        for vm in mesh.vms:
            vm.start()
        await asyncio.sleep(5)
        await asyncio.gather(
            *(use(vm) for vm in mesh.vms for _ in range(CALLERS_PER_VM))
        )
        runs = [
            (at, sent_at[request_id])
            for vm in mesh.vms
            for at, request_id in vm.target.runs
            if request_id in sent_at
        ]
        most = max(
            sum(start <= sent and at <= start + WINDOW_S for at, sent in runs)
            for _, start in runs
        )
        allowed = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
        print(f'{most} in {WINDOW_S} s, {allowed:.0f} allowed; {statuses}')
    finally:
        mesh.close()


asyncio.run(main(float(sys.argv[1])))
