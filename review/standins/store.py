# flake8: noqa
"""Stand-in for the platform's metadata store: keyed topics of one partition.

Answers log-append, log-read and log-newest as the users' protocol page says.
`silence_connections` makes the open connections silent for good; new ones
work.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from standins.http import read_request, render_response


class Store:
    def __init__(self):
        self.address = ''
        self.topics = {}
        self.era = 1
        self.calls = []
        self._changed = asyncio.Event()
        self._silent = set()
        self._open = {}
        self._servers = []

    async def listen(self, host='127.0.0.1', port=0):
        self.address = await self.listen_for('', host, port)

    async def listen_for(self, caller, host='127.0.0.1', port=0):
        """Listen at one more address, at which `caller` alone calls."""

        async def serve(reader, writer):
            await self._serve(reader, writer, caller)

        server = await asyncio.start_server(serve, host, port)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def close(self):
        for server in self._servers:
            server.close()
        for writer in tuple(self._open):
            writer.transport.abort()

    def put(self, topic, key, payload):
        name = key.encode()
        self.topics.setdefault(topic, []).append(
            bytes([len(name)]) + name + payload
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def silence_connections(self, caller):
        """Let a caller's open connections go silent, without a reset.

        Returns their number.
        """
        chosen = {one for one, by in self._open.items() if by == caller}
        self._silent |= chosen
        return len(chosen)

    async def _serve(self, reader, writer, caller):
        self._open[writer] = caller
        try:
            while True:
                req = await read_request(reader)
                if req is None:
                    return
                if writer in self._silent:
                    await asyncio.sleep(3600)
                status, body = await self._answer(req, caller)
                if writer in self._silent:
                    await asyncio.sleep(3600)
                writer.write(
                    render_response(
                        status, body, [('Store-Era', str(self.era))]
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open.pop(writer, None)
            writer.close()

    async def _answer(self, req, caller):
        path, _, query = req.target.partition('?')
        fields = {name: one[0] for name, one in parse_qs(query).items()}
        self.calls.append((time.monotonic(), caller, path, fields))
        await asyncio.sleep(0.004)
        records = self.topics.setdefault(fields.get('topic', ''), [])
        if path == '/-/log-append':
            return self._append(fields, records, req.body)
        if path == '/-/log-newest':
            return 200, self._list_newest(fields, records)
        if path == '/-/log-read':
            return await self._read(fields, records)
        return 404, b'{}'

    def _append(self, fields, records, body):
        if int(fields.get('at', len(records))) != len(records):
            return 412, json.dumps({'end_offset': len(records)}).encode()
        first = len(records)
        while body:
            size = int.from_bytes(body[:4], 'big')
            record, body = body[4 : 4 + size], body[4 + size :]
            key = record[1 : 1 + record[0]].decode()
            self.put(fields['topic'], key, record[1 + record[0] :])
        answer = {'offset': first, 'end_offset': len(records)}
        return 200, json.dumps(answer).encode()

    def _list_newest(self, fields, records):
        newest = {}
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            payload = record[1 + record[0] :]
            newest.pop(key, None)
            if payload:
                newest[key] = (offset, payload)
        keys = sorted(key for key in newest if key > fields.get('after', ''))
        items = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in keys[:500]
        ]
        return json.dumps(
            {
                'items': items,
                'has_more': len(keys) > 500,
                'end_offset': len(records),
            }
        ).encode()

    async def _read(self, fields, records):
        start = int(fields['from'])
        if start > len(records):
            return 410, b'{"first_offset":0}'
        ends_at = time.monotonic() + int(fields.get('wait_timeout_ms', 0)) / 1e3
        while start >= len(records):
            left = ends_at - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        page = b''.join(
            len(one).to_bytes(4, 'big') + one for one in records[start:]
        )
        return 200, len(records).to_bytes(8, 'big') + bytes(8) + page
