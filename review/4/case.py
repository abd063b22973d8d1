# flake8: noqa
"""A daemon keeps an old version after connections to the store fell silent."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import mesh as m

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
LONG_WAIT_MS = 8500


def find_read(store, vm):
    """Return when the last read of a daemon came and how long it may wait."""
    for at, caller, path, fields in reversed(store.calls):
        if caller == vm.name and path == '/-/log-read':
            return at, int(fields['wait_timeout_ms'])
    return 0, 0


async def case(mesh, trouble):
    await mesh.open(
        [('z-a', 'bar'), ('z-a', 'bar'), ('z-b', 'old'), ('z-b', 'new')]
    )
    services = ['bar', 'old', 'new']
    version = 1

    def publish(service):
        rules = [m.make_rule('/menu/', service), m.make_rule('/list/', 'new')]
        mesh.publish(version, rules, services)

    publish('old')
    for vm in mesh.vms:
        vm.start()
    await asyncio.sleep(6)

    async def is_served():
        answers = [await m.ask(vm, '/menu/1') for vm in mesh.vms[:2]]
        return all(status == 200 for _, status in answers)

    if not await m.wait_for(is_served, 15, 0.2):
        raise m.NotRunError('no request was served')

    # The first reader of the zone is the one whose reads wait for a second.
    pair = mesh.vms[:2]
    leaves = min(pair, key=lambda vm: find_read(mesh.store, vm)[1])
    stays = next(vm for vm in pair if vm is not leaves)
    upstream = leaves.target
    upstream.beats = False
    notice = {'born': upstream.born, 'address': leaves.app}
    if trouble:
        # Its upstream is emptied and ends, as planned.
        if not await upstream.send('deregister', notice):
            raise m.NotRunError('the notice was not acknowledged')
        await asyncio.sleep(m.DRAIN_TIMEOUT_S + 0.5)
        upstream.stop()
    # Versions follow each other until a read that waits long has just begun.
    is_long = False
    ends_at = time.monotonic() + 50
    while not is_long and time.monotonic() < ends_at:
        version += 1
        publish('old')
        await asyncio.sleep(1.4)
        at, wait = find_read(mesh.store, stays)
        is_long = wait >= LONG_WAIT_MS and time.monotonic() - at < 1.2
    if not is_long:
        raise m.NotRunError('no read waited long enough')
    mesh.record.note('roles', stays=stays.name, leaves=leaves.name)
    sending = asyncio.create_task(send_requests(stays))
    if trouble:
        # The upstream has ended; its machine is taken away as planned.
        leaves.signal(signal.SIGTERM)
        await leaves.wait_end()
        silent = mesh.store.silence_connections(stays.name)
        mesh.record.note('store.connections_silent', count=silent)
    else:
        await asyncio.sleep(2.7)
    await asyncio.sleep(CONTACT_S + 0.1)
    version += 1
    publish('new')
    acked_at = time.monotonic()
    await asyncio.sleep(CONFIG_APPLY_S + 6)
    sending.cancel()
    await asyncio.sleep(0.2)
    runs = [at for at, one in mesh.vms[2].target.runs if one in SENT_AT]
    wrong = [
        SENT_AT[one] - acked_at
        for _, one in mesh.vms[2].target.runs
        if SENT_AT.get(one, 0) > acked_at + CONFIG_APPLY_S
    ]
    mesh.record.note(
        'result',
        late_runs_by_the_old_service=len(wrong),
        last_sent_after_ack=round(max(wrong), 2) if wrong else '-',
    )
    print(f'{len(wrong)} late requests were run by the old service')
    return bool(wrong)


SENT_AT = {}


async def send_requests(vm):
    while True:
        asyncio.ensure_future(send(vm))
        asyncio.ensure_future(m.ask(vm, '/list/1'))
        await asyncio.sleep(0.1)


async def send(vm):
    sent_at = time.monotonic()
    request_id, _ = await m.ask(vm, '/menu/1')
    SENT_AT[request_id] = sent_at


m.run(case, FOLDER)
