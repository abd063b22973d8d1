# flake8: noqa
"""Minimal HTTP/1.1 for the stand-ins."""

import asyncio


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start.split(' ')[0]

    @property
    def target(self):
        return self.start.split(' ')[1]

    @property
    def status(self):
        return int(self.start.split(' ')[1])

    def find(self, name):
        return self.headers.get(name.lower())


async def _read_message(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    start, *lines = head.decode('latin-1')[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Message(start, headers, body)


async def read_request(reader):
    """Return the next request, None at the end of the connection."""
    try:
        return await _read_message(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_response(reader):
    """Return a complete response; raises if it ends early."""
    return await _read_message(reader)


PHRASES = {200: 'OK', 412: 'Precondition Failed', 410: 'Gone'}


def render_response(status, body=b'', headers=()):
    lines = [f'HTTP/1.1 {status} {PHRASES.get(status, "-")}']
    lines += [f'{name}: {text}' for name, text in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def render_request(method, target, headers=(), body=b''):
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    if body or method not in ('GET', 'HEAD'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def call(address, method, target, headers=(), body=b'', timeout=1.0):
    """Send one request on a new connection; return the response or None."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(render_request(method, target, headers, body))
            return await read_response(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
