"""Read requests from an ASGI server and write answers to it."""

from collections.abc import Awaitable, Callable, MutableMapping
from email.utils import formatdate
from typing import Any

import attrs

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._bounds import check_body_size, check_head
from goldcrestwharf.hops._final import FinalAnswer
from goldcrestwharf.hops._messages import HeaderFields
from goldcrestwharf.hops._settings import HopsSettings

#: Types of the ASGI specification, whose events are plain mappings.
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

_HEADER_ENCODING = 'latin-1'
_TYPE = 'type'
_DATE = b'date'


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A complete request of a caller.

    ``target`` is the path with the query as sent, ``path`` the decoded path
    without the query, and ``caller`` the IP address of the caller.
    """

    method: str
    host: str
    path: str
    target: bytes
    headers: HeaderFields
    body: bytes
    caller: str


class CallerDisconnectedError(Exception):
    """Raised if the caller disconnects before its request is complete."""


async def read_request(
    scope: Scope,
    receive: Receive,
    cfg: HopsSettings,
) -> CallerRequest:
    """Return the complete request.

    Raises :class:`RejectedError` if it is malformed or exceeds a limit, and
    :class:`CallerDisconnectedError` if the caller disconnected.
    """
    headers: HeaderFields = tuple(scope['headers'])
    target = _join_target(scope)
    check_head(target, headers, cfg)
    client = scope.get('client')
    return CallerRequest(
        method=scope['method'],
        host=_read_host(headers),
        path=scope['path'],
        target=target,
        headers=headers,
        body=await _read_body(receive, cfg.max_body_bytes),
        caller=client[0] if client else '',
    )


async def write_answer(send: Send, answer: FinalAnswer) -> None:
    """Send the complete answer to the ASGI server."""
    await send(
        {
            _TYPE: 'http.response.start',
            'status': answer.status,
            'headers': (*answer.headers, *_date_if_missing(answer)),
        }
    )
    await send({_TYPE: 'http.response.body', 'body': answer.body})


def _date_if_missing(answer: FinalAnswer) -> HeaderFields:
    """Return a ``date`` field unless the target has set one."""
    if _headers.find(answer.headers, _DATE) is not None:
        return ()
    return ((_DATE, formatdate(usegmt=True).encode()),)


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller has disconnected."""
    while True:
        event = await receive()
        if event[_TYPE] == 'http.disconnect':
            return


def _join_target(scope: Scope) -> bytes:
    path: bytes = scope['raw_path']
    query: bytes = scope['query_string']
    return b'%b?%b' % (path, query) if query else path


def _read_host(headers: HeaderFields) -> str:
    host = (_headers.find(headers, _headers.HOST) or b'').decode(
        _HEADER_ENCODING
    )
    name, _, port = host.rpartition(':')
    if name and port.isdigit():
        return name.lower()
    return host.lower()


async def _read_body(receive: Receive, bound: int) -> bytes:
    parts = bytearray()
    while True:
        event = await receive()
        if event[_TYPE] == 'http.disconnect':
            raise CallerDisconnectedError
        parts += event.get('body', b'')
        check_body_size(len(parts), bound)
        if not event.get('more_body', False):
            return bytes(parts)
