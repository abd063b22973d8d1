# flake8: noqa
"""A long order runs twice after a short freeze of the daemon that ran it."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import mesh as m
from standins.http import call

WORK_S = 36.0
DEADLINE_MS = 60_000
FREEZE_AT_S = 31.5
FREEZE_S = float(os.environ.get('FREEZE_S', '1.5'))


class Kitchen(m.Target):
    async def _answer(self, req):
        self.work_s = WORK_S if req.target.startswith('/order/') else 0.02
        return await super()._answer(req)


async def case(mesh, trouble):
    await mesh.open(
        [('z-a', 'bar'), ('z-a', 'kitchen'), ('z-a', 'kitchen')], target=Kitchen
    )
    entry = mesh.vms[0]
    order = m.make_rule(
        '/order/', 'kitchen', kind='non_idempotent', timeout='60s'
    )
    small = m.make_rule('/note/', 'kitchen', kind='non_idempotent')
    mesh.publish(1, [order, small], ['kitchen', 'bar'])
    for vm in mesh.vms:
        vm.start()
    await asyncio.sleep(5)

    async def is_served():
        return (await m.ask(entry, '/note/1', method='POST', body=b'n'))[1] == 200

    if not await m.wait_for(is_served, 15, 0.2):
        raise m.NotRunError('no request was served')

    request_id, headers = m.make_headers(DEADLINE_MS)
    began_at = time.monotonic()
    mesh.record.note('sent', request=request_id, path='/order/1')
    pending = asyncio.create_task(
        call(entry.outbound, 'POST', '/order/1', headers, b'one lunch', 65)
    )
    # Other orders go on all the while.
    noting = asyncio.create_task(send_notes(entry))
    await asyncio.sleep(1)

    def list_runs():
        return [
            (vm.name, round(at - began_at, 2))
            for vm in mesh.vms
            for at, one in vm.target.runs
            if one == request_id
        ]

    if len(list_runs()) != 1:
        raise m.NotRunError('the order did not start once')
    owner = next(vm for vm in mesh.vms if vm.name == list_runs()[0][0])
    await asyncio.sleep(began_at + FREEZE_AT_S - time.monotonic())
    if trouble:
        owner.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        owner.signal(signal.SIGCONT)
    answer = await asyncio.wait([pending], timeout=25) and (
        pending.result() if pending.done() else None
    )
    noting.cancel()
    status = answer.status if answer else 0
    mesh.record.note('answered', request=request_id, status=status)
    mesh.record.note('result', runs=list_runs(), status=status)
    print(f'the order ran {len(list_runs())} times: {list_runs()}, answer {status}')
    return len(list_runs()) > 1


async def send_notes(entry):
    while True:
        for _ in range(5):
            asyncio.ensure_future(
                m.ask(entry, '/note/1', method='POST', body=b'n')
            )
        await asyncio.sleep(0.1)


m.run(case, FOLDER)
