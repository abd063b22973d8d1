# flake8: noqa
"""A deregistered upstream is used again after its delayed first heartbeat."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import mesh as m

SERVES_ON_S = 9.0
LATE_S = 3.0


async def case(mesh, trouble):
    await mesh.open([('z-a', 'bar'), ('z-a', 'kitchen'), ('z-a', 'kitchen')], work_s=0.05)
    entry, other, leaver = mesh.vms
    mesh.publish(1, [m.make_rule('/menu/', 'kitchen')], ['kitchen', 'bar'])
    for vm in mesh.vms:
        vm.start()
    await asyncio.sleep(6)

    async def uses_both():
        await asyncio.gather(*(m.ask(entry, '/menu/1') for _ in range(12)))
        return other.target.runs and leaver.target.runs

    if not await m.wait_for(uses_both, 15, 0.2):
        raise m.NotRunError('the targets were not used before the disruption')

    # The upstream crashes and is back under its id, with counts anew.
    upstream = leaver.target
    upstream.beats = False
    upstream.stop()
    mesh.record.note('upstream.crash', upstream=upstream.instance)
    await asyncio.sleep(1)
    upstream.is_down, upstream.sequence = False, 0
    upstream.born = int(time.time() * 1000)
    await upstream.listen()
    first = upstream.describe()
    sent_at = time.monotonic()
    mesh.record.note('upstream.start', upstream=upstream.instance)
    if not trouble:
        await upstream.send('heartbeat', first)
    # Before its heartbeat has been without an answer for a second.
    await asyncio.sleep(0.8)
    notice = {'born': upstream.born, 'address': leaver.app}
    if not await upstream.send('deregister', notice):
        raise m.NotRunError('the notice was not acknowledged')
    acked_at = time.monotonic()
    sending = asyncio.create_task(send_requests(entry, acked_at + SERVES_ON_S))
    if trouble:
        await asyncio.sleep(sent_at + LATE_S - time.monotonic())
        await upstream.send('heartbeat', first)
        mesh.record.note('late', by=round(time.monotonic() - sent_at, 2))
    await sending
    mesh.record.note('upstream.exit', upstream=upstream.instance)
    upstream.stop()
    late_runs = [
        at for at, _ in upstream.runs if at > acked_at + m.DRAIN_TIMEOUT_S
    ]
    mesh.record.note(
        'result',
        runs_after_drain=len(late_runs),
        last_after_ack=round(max(late_runs) - acked_at, 2) if late_runs else '-',
    )
    print(f'{len(late_runs)} runs on the upstream that left')
    return bool(late_runs)


async def send_requests(entry, ends_at):
    while time.monotonic() < ends_at:
        await asyncio.gather(*(m.ask(entry, '/menu/1') for _ in range(14)))
        await asyncio.sleep(0.1)


m.run(case, FOLDER)
