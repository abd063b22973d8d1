# flake8: noqa
"""A planned stop cuts off answers that are on their way to the caller."""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import mesh as m
from standins.http import render_request

LINK_BYTES_PER_S = 7.5e6 / 8
BODY_BYTES = 500_000
DEADLINE_MS = 1887
GRACE_S = 6.0
WINDOW_BYTES = 4096
SEGMENT_BYTES = 1400


class Archive(m.Target):
    def make_body(self, req):
        return bytes(BODY_BYTES)


class Link:
    """The link of the machine: all clients read at its rate together."""

    def __init__(self):
        self._free_at = 0.0

    async def take(self, size):
        self._free_at = max(self._free_at, time.monotonic())
        self._free_at += size / LINK_BYTES_PER_S
        await asyncio.sleep(self._free_at - time.monotonic())


async def download(mesh, vm, link):
    """Return what became of a download: whole, cut, late or refused."""
    loop = asyncio.get_running_loop()
    request_id, headers = m.make_headers(DEADLINE_MS)
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    received, outcome, sent_at = b'', 'cut', time.monotonic()
    try:
        async with asyncio.timeout(DEADLINE_MS / 1e3):
            host, _, port = vm.outbound.rpartition(':')
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(
                sock, render_request('GET', '/doc/1', headers)
            )
            mesh.record.note('sent', request=request_id)
            while chunk := await loop.sock_recv(sock, 4096):
                await link.take(len(chunk))
                received += chunk
                head, _, body = received.partition(b'\r\n\r\n')
                length = head.lower().partition(b'content-length:')[2]
                if length and len(body) >= int(length.split()[0]):
                    outcome = 'whole' if b' 200 ' in head[:20] else 'refused'
                    break
    except TimeoutError:
        outcome = 'late'
    except OSError as exc:
        mesh.record.note('error', request=request_id, cause=repr(exc))
    finally:
        sock.close()
    mesh.record.note(
        'answered',
        request=request_id,
        outcome=outcome,
        bytes=len(received),
        after_ms=round((time.monotonic() - sent_at) * 1000),
    )
    return sent_at, time.monotonic(), request_id, outcome


async def case(mesh, trouble):
    mesh.limits['link_mbps'] = 7.5
    await mesh.open(
        [('z-a', 'archive'), ('z-b', 'orders')], target=Archive, work_s=0.14
    )
    stopped = mesh.vms[0]
    rule = m.make_rule('/doc/', 'archive', kind='download', timeout="1887ms")
    mesh.publish(1, [rule], ['archive', 'orders'])
    for vm in mesh.vms:
        vm.start()
    is_up = await m.wait_for(stopped.is_ready, 15)
    link = Link()

    async def is_served():
        return (await download(mesh, stopped, link))[3] == 'whole'

    if not (is_up and await m.wait_for(is_served, 15, 0.2)):
        raise m.NotRunError('no download was served')

    taken_out = asyncio.Event()

    async def check_readiness():
        """Two misses in a row take the machine out, as the platform does."""
        misses = 0
        while misses < 2:
            await asyncio.sleep(1)
            misses = 0 if await stopped.is_ready() else misses + 1
            mesh.record.note('readiness', misses=misses)
        taken_out.set()

    checking = asyncio.create_task(check_readiness())
    await asyncio.sleep(2.05)
    stopped_at = time.monotonic()
    if trouble:
        stopped.signal(signal.SIGTERM)
    # A caller that opens a document now and then, until the machine is out.
    downloads = []
    for after in (1.85, 1.85, 1.85):
        await asyncio.sleep(max(stopped_at + after - time.monotonic(), 0))
        if not taken_out.is_set():
            downloads.append(
                asyncio.create_task(download(mesh, stopped, link))
            )
    outcomes = await asyncio.gather(*downloads)
    if trouble:
        await stopped.wait_end()
    checking.cancel()
    runs = {request_id for vm in mesh.vms for _, request_id in vm.target.runs}
    broken = [
        request_id
        for sent_at, ended_at, request_id, outcome in outcomes
        if outcome == 'cut'
        and request_id in runs
        and ended_at < stopped_at + GRACE_S + 1
    ]
    kinds = [one[3] for one in outcomes]
    mesh.record.note(
        'result',
        cut_off=len(broken),
        whole=kinds.count('whole'),
        late=kinds.count('late'),
        refused=kinds.count('refused'),
    )
    print(f'{len(broken)} answers of {len(outcomes)} were cut off')
    return bool(broken)


m.run(case, FOLDER)
