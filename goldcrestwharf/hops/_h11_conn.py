"""Exchange HTTP/1.1 messages on a connection to a target."""

import select

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from goldcrestwharf.errors import OutcomeUnknownError
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.hops._target_client import TargetAnswer, TargetRequest

_READ_BYTES = 65_536

#: Least and greatest status that HTTP has (RFC 9110, section 15).
_MIN_STATUS = 100
_MAX_STATUS = 599

#: Most responses to one request, with the interim ones (1xx).
_MAX_RESPONSES = 64

_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    h11.RemoteProtocolError,
    OSError,
)


class TargetConn:
    """A connection to a target that carries one request at a time.

    ``idle_since`` is the time, in seconds, at which the last exchange ended.
    """

    def __init__(self, *, stream: SocketStream, cfg: HopsSettings) -> None:
        """Use ``stream``, on which nothing has been sent yet."""
        self.idle_since: float = 0
        self._poll = _make_input_poll(stream)
        self._stream = stream
        self._http = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=cfg.max_header_bytes,
        )
        self._answers = _AnswerReader(
            stream=stream,
            http=self._http,
            max_body_bytes=cfg.max_body_bytes,
        )

    async def exchange(self, req: TargetRequest) -> TargetAnswer:
        """Send the request and return its complete answer."""
        serialized = _serialize(self._http, req)
        try:
            return await self._run(serialized)
        except _CONNECTION_ERRORS as exc:
            raise OutcomeUnknownError(
                reason=f'the target sent no complete answer: {exc!r}',
                remedy='look at the log of the target',
            ) from exc

    @property
    def has_received(self) -> bool:
        """Return whether any byte of the latest answer was received."""
        return self._answers.has_received

    def is_reusable(self) -> bool:
        """Prepare for the next request; return whether that is possible."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return not self._http.trailing_data[0]

    def has_no_input(self) -> bool:
        """Return whether there is nothing to read, not even an EOF."""
        return not self._poll.poll(0)

    async def close(self) -> None:
        """Close the connection at once."""
        await anyio.aclose_forcefully(self._stream)

    async def _run(self, serialized: bytes) -> TargetAnswer:
        await self._stream.send(serialized)
        return await self._answers.read()


def _check_status(status: int) -> None:
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        raise OutcomeUnknownError(
            reason=f'the target sent the status {status}',
            remedy='send one from 200 to 599',
        )


class _AnswerReader:
    """A reader of complete answers from a connection."""

    def __init__(
        self,
        *,
        stream: SocketStream,
        http: h11.Connection,
        max_body_bytes: int,
    ) -> None:
        """Read bodies of up to ``max_body_bytes``."""
        self._stream = stream
        self._http = http
        self._max_body_bytes = max_body_bytes
        self.has_received = False

    async def read(self) -> TargetAnswer:
        """Return the next complete answer."""
        self.has_received = False
        head = await self._read_head()
        body = await self._read_body()
        return TargetAnswer(
            status=head.status_code,
            headers=tuple(head.headers),
            body=body,
        )

    async def _read_head(self) -> h11.Response:
        for _ in range(_MAX_RESPONSES):
            head = await self._next_event()
            if isinstance(head, h11.Response):
                _check_status(head.status_code)
                return head
        raise OutcomeUnknownError(
            reason=f'the target sent {_MAX_RESPONSES} interim responses',
            remedy='send fewer of them, or the answer sooner',
        )

    async def _read_body(self) -> bytes:
        parts = bytearray()
        event = await self._next_event()
        while isinstance(event, h11.Data):
            parts += event.data
            if len(parts) > self._max_body_bytes:
                raise OutcomeUnknownError(
                    reason='the answer of the target is too large',
                    remedy='raise "max_body_bytes" or paginate the answer',
                )
            event = await self._next_event()
        return bytes(parts)

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            piece = await self._stream.receive(_READ_BYTES)
            self.has_received = True
            self._http.receive_data(piece)


def _serialize(http: h11.Connection, req: TargetRequest) -> bytes:
    head = h11.Request(
        method=req.method,
        target=req.path,
        headers=list(req.headers),
    )
    parts = [http.send(head)]
    if req.body:
        parts.append(http.send(h11.Data(data=req.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b''.join(part for part in parts if part)


def _make_input_poll(stream: SocketStream) -> 'select.poll':
    poll = select.poll()
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    poll.register(raw_socket.fileno(), select.POLLIN)
    return poll
