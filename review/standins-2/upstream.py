# flake8: noqa
"""Stand-in of an application upstream."""

import asyncio
import json

import wire

HEARTBEAT_S = 1.5


class Upstream:
    """Upstream that records its runs and reports to the daemon beside it.

    ``born`` is the start that it states, in Unix milliseconds. A request with
    the word ``poison`` in its path crashes it ``crash_after_s`` after it begins to run,
    and it is back ``recovery_s`` later under a new id. ``extra`` is called with the
    connection of a request whose connection has had a complete answer.
    """

    def __init__(self, *, lab, name, service, host, port, control, zone):
        self.lab = lab
        self.name = name
        self.service = service
        self.host, self.port, self.control = host, port, control
        self.zone = zone
        self.starts = 0
        self.instance = ''
        self.born = 0
        self.work_s = 0.02
        self.crash_after_s = 0.0
        self.recovery_s = 2.0
        self.state = 'ready'
        self.extra = None
        self.answered = 0
        self._sequence = 0
        self._server = None
        self._writers = set()
        self._tasks = []

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def start(self, *, born, instance=None):
        self.starts += 1
        self.instance = instance or f'i-{self.name}-{self.starts}'
        self.born = born
        self.state = 'ready'
        self._sequence = 0
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        self.lab.note('upstream starts', upstream=self.name,
                      instance=self.instance, born=born)

    def stop(self):
        """End at once: no listener, and all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def tell(self, call, document):
        path = f'/-/instances/{self.instance}/{call}'
        status, _, _ = await wire.call(
            self.host, self.control, 'POST', path,
            [('Host', self.address), ('Content-Type', 'application/json')],
            json.dumps(document).encode(), timeout=1.0,
        )
        return 200 <= status < 300

    async def send_heartbeat(self):
        self._sequence += 1
        return await self.tell('heartbeat', {
            'address': self.address,
            'born': self.born,
            'info': {'service': self.service, 'version': 'v1',
                     'zone': self.zone, 'slot_count': 10},
            'status': {'state': self.state, 'sequence': self._sequence,
                       'warmup_left': '0ms'},
        })

    async def deregister(self):
        return await self.tell('deregister', {'born': self.born})

    async def _send_heartbeats(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            answers = 0
            while (head := await wire.read_head(reader)) is not None:
                first, headers = head
                await wire.read_body(reader, headers)
                await self._respond(writer, first, headers, answers)
                answers += 1
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, writer, first, headers, answers):
        request_id = headers.get('request-id', '')
        method, path, _ = first.split(' ')
        expected = headers.get('expect-instance')
        if expected not in {None, self.instance}:
            writer.write(wire.render(421, [('Request-Id', request_id),
                                           ('Instance-Id', self.instance)]))
            await writer.drain()
            return
        self.lab.record_run(self, request_id, path)
        if 'poison' in path:
            await self._crash()
            return
        if self.extra is not None and answers:
            await self.extra(self, writer, request_id)
        await asyncio.sleep(self.work_s)
        answer = b'answer to ' + request_id.encode()
        writer.write(wire.render(200, [('Request-Id', request_id),
                                       ('Response-Seal', f's.{request_id}')],
                                 answer))
        await writer.drain()
        self.answered += 1

    async def _crash(self):
        """Crash, whether or not the connection of the request is closed."""
        instance = self.instance
        await asyncio.sleep(self.crash_after_s)
        if instance != self.instance or self._server is None:
            return
        self.lab.note('upstream crashes', upstream=self.name,
                      instance=instance)
        self.lab.crashes.append((wire.now(), self))
        self.stop()
        self._tasks.append(asyncio.create_task(self._recover()))

    async def _recover(self):
        await asyncio.sleep(self.recovery_s)
        self._tasks.clear()
        await self.start(born=self.lab.wall_ms())
