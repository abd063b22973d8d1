# flake8: noqa
"""After a final fault, an upstream that starts again is never used."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))
from kit import (  # noqa: E402
    CannotRunError, Upstream, configuration, main, now, rule,
)

DRAIN_S = 2.0
DOWN_S = 0.5
#: ``recover``, and the time in which requests are judged after it.
RECOVER_S = 15.0
JUDGED_S = 15.0


async def run(mesh, trouble):
    record = mesh.record
    mesh.store.put('keyed.op', 'config', configuration(1, {
        'desk.example': [
            rule('r-file', '/file/', 'newsroom', kind='non_idempotent'),
            rule('r-pull', '/pull/', 'newsroom'),
        ],
    }, ['newsroom', 'front']))
    machine, front = mesh.machines
    upstream = Upstream(machine, 'newsroom', 'i-newsroom', record, work=0.05)
    await mesh.start([
        upstream, Upstream(front, 'front', 'i-front', record),
    ])
    is_over = False
    answers = []

    async def client(path, method, body):
        while not is_over:
            one = await mesh.request(
                front, 'desk.example', path, method=method, body=body,
            )
            answers.append(one)
            await asyncio.sleep(0.1 if one.status == 200 else 0.25)

    clients = [
        asyncio.ensure_future(client('/file/1', 'POST', b'x')),
        asyncio.ensure_future(client('/pull/1', 'GET', b'')),
    ]
    await asyncio.sleep(4.0)
    fault_at = now()

    # The upstream's heartbeats come every 1.5 s; one has just arrived.
    upstream.stop_beats()
    await upstream.post_beat(upstream.make_beat())
    if trouble:
        record.note('final fault: all processes are killed')
        for one in mesh.machines:
            one.kill()
        await asyncio.sleep(DOWN_S)
        for one in mesh.machines:
            one.start()
    back_at = now()
    # Planned work: the upstream is replaced in place. It sends no draining,
    # but deregisters first, before its next heartbeat is due.
    if not await machine.wait_for(machine.control):
        raise CannotRunError('the daemon does not listen')
    while (await upstream.deregister()).status != 200:
        await asyncio.sleep(0.02)
    await asyncio.sleep(DRAIN_S + 0.5)
    upstream.close()
    record.note('the upstream exits')
    await asyncio.sleep(1.0)
    again = Upstream(machine, 'newsroom', 'i-newsroom', record, work=0.05)
    mesh.upstreams.append(again)
    await again.open()
    record.note(f'the upstream starts again under its id, born {again.born}')
    beat = await again.post_beat(again.make_beat())
    record.note(f'its heartbeat (ready): {beat}')
    await asyncio.sleep(max(back_at + RECOVER_S + JUDGED_S - now(), 0))
    is_over = True
    await asyncio.gather(*clients)
    beat = await again.post_beat(again.make_beat())
    record.note(f'its heartbeats are still acknowledged: {beat}')

    before = [one for one in answers if one.sent_at < fault_at]
    after = [one for one in answers if one.sent_at > back_at + RECOVER_S]
    shares = [
        sum(one.status == 200 for one in part) / max(len(part), 1)
        for part in (before, after)
    ]
    record.note(
        f'served before the fault: {shares[0]:.2f} of {len(before)};'
        f' later than recover after it: {shares[1]:.2f} of {len(after)};'
        f' the new start ran {len(again.runs)} requests'
    )
    if shares[0] < 0.25:
        raise CannotRunError('nothing was served before the fault')
    return int(shares[1] < 0.25)


main(
    run,
    [('side-a-1', 'cairo-a', 'newsroom'), ('side-b-1', 'cairo-b', 'front')],
    HERE,
)
