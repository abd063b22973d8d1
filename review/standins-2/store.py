# flake8: noqa
"""Stand-in of the platform's metadata store: a log with keyed topics."""

import asyncio
import base64
import json
import urllib.parse

import wire


class Store:
    """Topics in memory; while ``is_away`` every call gets status 503."""

    def __init__(self):
        self.topics = {}
        self.is_away = False
        self.calls = []
        self._changed = asyncio.Event()
        self._servers = {}
        self._writers = {}

    async def listen(self, host, port):
        """Listen at an address, beside those before it."""
        self._servers[port] = await asyncio.start_server(
            self._serve, host, port
        )

    def leave(self, port):
        """Stop listening at an address, and end its connections."""
        self._servers.pop(port).close()
        for writer, at in tuple(self._writers.items()):
            if at == port:
                writer.close()

    def close(self):
        for port in tuple(self._servers):
            self.leave(port)

    def append(self, topic, key, payload):
        """Append a keyed record; return its offset."""
        written = bytes((len(key),)) + key.encode() + payload
        return self._append(topic, [written])

    def _append(self, topic, records):
        listed = self.topics.setdefault(topic, [])
        listed.extend(records)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(listed) - len(records)

    async def _serve(self, reader, writer):
        self._writers[writer] = writer.get_extra_info('sockname')[1]
        try:
            while (head := await wire.read_head(reader)) is not None:
                first, headers = head
                body = await wire.read_body(reader, headers)
                status, answer = await self._answer(first, body)
                writer.write(
                    wire.render(status, [('Store-Era', '1')], answer)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.pop(writer)
            writer.close()

    async def _answer(self, first, body):
        method, target, _ = first.split(' ')
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.rsplit('/', 1)[-1]
        self.calls.append((wire.now(), name, query.get('topic', '')))
        if self.is_away:
            return 503, b''
        topic = query.get('topic', '')
        if name == 'log-append':
            return self._handle_append(topic, query, body)
        if name == 'log-newest':
            return 200, self._newest(topic)
        if name == 'log-read':
            return await self._read(topic, query)
        return 404, b''

    def _handle_append(self, topic, query, body):
        listed = self.topics.setdefault(topic, [])
        if 'at' in query and int(query['at']) != len(listed):
            return 412, json.dumps({'end_offset': len(listed)}).encode()
        records, at = [], 0
        while at < len(body):
            size = int.from_bytes(body[at : at + 4], 'big')
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        offset = self._append(topic, records)
        answer = {'offset': offset, 'end_offset': len(listed)}
        return 200, json.dumps(answer).encode()

    def _newest(self, topic):
        newest = {}
        listed = self.topics.get(topic, [])
        for offset, record in enumerate(listed):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (record[1 + record[0] :], offset)
        items = [
            {
                'key': key,
                'value': base64.b64encode(payload).decode(),
                'offset': offset,
            }
            for key, (payload, offset) in newest.items()
            if payload
        ]
        answer = {
            'items': items,
            'has_more': False,
            'end_offset': len(listed),
        }
        return json.dumps(answer).encode()

    async def _read(self, topic, query):
        offset = int(query['from'])
        ends_at = wire.now() + int(query.get('wait_timeout_ms', 0)) / 1000
        while len(self.topics.get(topic, [])) <= offset:
            changed = self._changed
            left = ends_at - wire.now()
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                break
        listed = self.topics.get(topic, [])
        page = len(listed).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
        for record in listed[offset:]:
            page += len(record).to_bytes(4, 'big') + record
        return 200, page
