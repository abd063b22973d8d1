# flake8: noqa
"""HTTP/1.1 over asyncio streams, for the stand-ins of the cases."""

import asyncio
import time


async def read_head(reader):
    """Return the first line and the headers, ``None`` at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def render(status, headers=(), body=b''):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} X', *(f'{k}: {v}' for k, v in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def call(host, port, method, path, headers=(), body=b'', timeout=2.0):
    """Send one request on a new connection; return status, headers, body.

    The status is 0 if the connection ended without a complete answer or the
    time was up.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in headers]
            if body or method != 'GET':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            head = await read_head(reader)
            if head is None:
                return 0, {}, b''
            first, found = head
            answer = await read_body(reader, found)
            return int(first.split(' ')[1]), found, answer
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


def now():
    """Return the monotonic time in seconds."""
    return time.monotonic()
