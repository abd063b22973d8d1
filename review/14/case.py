# flake8: noqa
"""A leaving that is acknowledged right after a restart is kept nowhere."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))
from kit import (  # noqa: E402
    CannotRunError, Upstream, configuration, main, now, rule,
)

DRAIN_S = 2.0
CONTACT_S = 3.0
RESTART_S = 0.5
#: The upstream serves on for some seconds more, and a heartbeat is seconds late.
STAY_S = 6.2
LATE_S = 2.0


async def run(mesh, trouble):
    record = mesh.record
    mesh.store.put('keyed.op', 'config', configuration(1, {
        'desk.example': [
            rule('r-file', '/file/', 'newsroom', kind='non_idempotent'),
        ],
    }, ['newsroom', 'front']))
    first, second, front = mesh.machines
    leaver = Upstream(first, 'newsroom', 'i-leaver', record, work=0.3)
    await mesh.start([
        leaver,
        Upstream(second, 'newsroom', 'i-stays', record, work=0.3),
        Upstream(front, 'front', 'i-front', record),
    ])
    is_over = False

    async def client():
        while not is_over:
            await mesh.request(
                front, 'desk.example', '/file/1', method='POST', body=b'x',
            )
            await asyncio.sleep(0.02)

    clients = [asyncio.ensure_future(client()) for _ in range(10)]
    await asyncio.sleep(1.0)
    if not leaver.runs:
        raise CannotRunError('the upstream gets no requests')

    # The upstream's heartbeats come every 1.5 s; one has just arrived.
    leaver.stop_beats()
    await leaver.post_beat(leaver.make_beat())
    if trouble:
        first.kill()
        await asyncio.sleep(RESTART_S)
        first.start()
    # Before its next heartbeat is due the upstream begins to leave. It sends
    # no draining, but deregisters first.
    if not await first.wait_for(first.control):
        raise CannotRunError('the daemon does not listen')
    late = leaver.make_beat()
    while (await leaver.deregister()).status != 200:
        await asyncio.sleep(0.02)
    acked_at = now()
    record.note('the leaving is acknowledged')
    started_at = acked_at - CONTACT_S
    if trouble:
        await asyncio.sleep(0.3)
        first.kill()
        await asyncio.sleep(RESTART_S)
        first.start()
        started_at = now()
        if not await first.wait_for(first.control):
            raise CannotRunError('the daemon does not listen')
    await asyncio.sleep(max(acked_at + LATE_S - now(), 0))
    answer = await leaver.post_beat(late)
    record.note(f'a heartbeat from before the leaving arrives late: {answer}')
    await asyncio.sleep(max(acked_at + STAY_S - now(), 0))
    record.note('the upstream exits')
    leaver.close()
    exited_at = now()
    await asyncio.sleep(1.0)
    is_over = True
    await asyncio.gather(*clients)

    # The machines are in touch for `contact` after the last start.
    counts_from = max(acked_at + DRAIN_S, started_at + CONTACT_S)
    wrong = [one for one in leaver.runs if one[0] > counts_from]
    cut = [
        ident for _, ident, *_ in wrong
        if mesh.answers[ident].status != 200
    ]
    for at, ident, *_ in wrong[:3]:
        record.note(
            f'{ident} reached the upstream {at - acked_at:.2f} s after the'
            f' acknowledgement'
        )
    record.note(
        f'{len(wrong)} requests reached the leaving upstream later than'
        f' drain_timeout, with all machines in touch; {len(cut)} of them were'
        f' never answered with success'
    )
    return int(bool(wrong))


main(
    run,
    [('side-b-1', 'cairo-b', 'newsroom'), ('side-a-1', 'cairo-a', 'newsroom'),
     ('side-b-2', 'cairo-b', 'front')],
    HERE,
)
