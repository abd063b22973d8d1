# flake8: noqa
"""Two crashing requests get a sound, frequent request refused everywhere."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))
from kit import (  # noqa: E402
    CannotRunError, Upstream, configuration, main, now, render, rule,
)

#: A crashed upstream is back after this time.
BACK_S = 3.0
#: Steady state begins when all upstreams are back for `contact` (3 s).
STEADY_S = BACK_S + 3.0
JUDGED_S = 20.0
WORK_S = 0.3
#: A crashing request takes an upstream down after this time.
CRASH_S = 0.02
#: Time between two refreshes of the page by each of its clients.
TICK_S = 0.6
#: Rounds in which the two crashing requests come, and the pause between them.
ROUNDS = 4
PAUSE_S = 1.0


def publish(mesh, version, prefixes):
    mesh.store.put('keyed.op', 'config', configuration(version, {
        'desk.example': [
            rule(f'r-{prefix}', f'/{prefix}/', 'wire', timeout='3000ms',
                 latency='500ms')
            for prefix in prefixes
        ],
    }, ['wire', 'desk']))


async def run(mesh, trouble):
    record = mesh.record
    publish(mesh, 1, ['first'])
    tasks, crashes = [], []

    async def come_back(upstream):
        await asyncio.sleep(BACK_S)
        upstream.born = int(time.time() * 1000)
        upstream.sequence = 0
        await upstream.open()
        record.note(f'{upstream.id} is back')

    def make(machine):
        upstream = Upstream(machine, machine.service, f'i-{machine.name}',
                            record, slots=18)

        async def respond(method, target, fields, body, writer):
            ident = fields['request-id']
            if trouble and target.startswith('/first/crash-'):
                crashes.append((now(), target))
                record.note(f'{ident} ({target}) crashes {upstream.id}')
                await asyncio.sleep(CRASH_S)
                if upstream.server is not None:
                    upstream.close()
                    tasks.append(asyncio.ensure_future(come_back(upstream)))
                return None
            await asyncio.sleep(WORK_S)
            return render(200, [('Request-Id', ident),
                                ('Response-Seal', f's.{ident}')], b'done')

        upstream.respond = respond
        return upstream

    await mesh.start([make(machine) for machine in mesh.machines])
    publish(mesh, 2, ['first', 'added'])
    await asyncio.sleep(2.5)
    fronts = [one for one in mesh.machines if one.service == 'desk']
    is_over = False
    answers = {'first': [], 'added': []}

    async def wait_for_tick():
        # Pages that refresh themselves ask in step.
        await asyncio.sleep(TICK_S - now() % TICK_S)

    async def client(machine, kind, number):
        count = 0
        while not is_over:
            count += 1
            # The first route's paths all differ; the added route has one
            # that many ask for, as a front page.
            path = f'/first/{number}-{count}' if kind == 'first' else '/added/page'
            answers[kind].append(await mesh.request(
                machine, 'desk.example', path, deadline=3000, quiet=True,
            ))
            if kind == 'first':
                await asyncio.sleep(0.2)
            else:
                await wait_for_tick()

    clients = [
        asyncio.ensure_future(client(machine, kind, number))
        for machine in fronts for kind, many in (('first', 2), ('added', 6))
        for number in range(many)
    ]
    await asyncio.sleep(3.0)
    for _ in range(ROUNDS):
        await wait_for_tick()
        await asyncio.sleep(0.05)
        await asyncio.gather(*[
            mesh.request(machine, 'desk.example', f'/first/crash-{which}',
                         deadline=3000)
            for machine, which in zip(fronts, 'ab')
        ])
        await asyncio.sleep(PAUSE_S)
    begins_at = max([at for at, _ in crashes], default=now()) + STEADY_S
    await asyncio.sleep(begins_at + JUDGED_S - now())
    is_over = True
    await asyncio.gather(*clients)
    await asyncio.gather(*tasks)
    if any(at + STEADY_S > begins_at for at, _ in crashes):
        raise CannotRunError('an upstream crashed later than expected')

    shares = {}
    for kind, listed in answers.items():
        judged = [one for one in listed if one.sent_at > begins_at]
        served = sum(one.status == 200 for one in judged)
        shares[kind] = served / max(len(judged), 1)
        record.note(
            f'steady state, route {kind}: {served} of {len(judged)} served;'
            f' {dict(Counter(str(one) for one in judged))}'
        )
        waits = [float(one.fields['retry-after']) for one in judged
                 if 'retry-after' in one.fields]
        if waits:
            record.note(f'greatest Retry-After on it: {max(waits):.0f} s')
        if len(judged) < 20:
            raise CannotRunError('too few requests')
    record.note(f'{len(crashes)} crashes: {dict(Counter(p for _, p in crashes))}')
    return int(shares['added'] < shares['first'] / 4)


main(
    run,
    [('side-a-1', 'cairo-a', 'wire'), ('side-a-2', 'cairo-a', 'wire'),
     ('side-b-1', 'cairo-b', 'wire'), ('side-b-2', 'cairo-b', 'wire'),
     ('side-a-3', 'cairo-a', 'desk'), ('side-b-3', 'cairo-b', 'desk')],
    HERE,
)
