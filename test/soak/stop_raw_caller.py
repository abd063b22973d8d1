"""Callers that send more than one proper request at a time, or read late."""

import asyncio
import time
from types import MappingProxyType

import attrs

from test.soak.stop_caller import PATIENCE_S, PAUSE_S, StopCaller
from test.soak.stop_conn import RawAnswer, RawConn, open_raw_conn
from test.soak.stop_records import StopRequest
from test.soak.stop_traffic import MAX_BODY_BYTES, Traffic
from test.soak.vm import render_request

_MIN_BATCH = 2
_MAX_BATCH = 4

#: Longest work of a request that others wait behind, in seconds.
_MAX_BATCH_WORK_S = 0.5

_MIN_UPLOAD_BYTES = 2000
_MAX_UPLOAD_BYTES = 90_000
_MAX_UPLOAD_PAUSE_S = 0.4

_LARGE_ANSWER_BYTES = 400_000
_MAX_READING_DELAY_S = 1.5

#: Share of the requests that are followed by a message to be rejected.
_REJECTED_SHARE = 0.5
_MAX_REJECTED_DELAY_S = 0.3

_MALFORMED = b'GET /missing-version\r\nno colon\r\n\r\n'
_OVERSIZED = render_request(
    'POST',
    '/order/kitchen/5/oversized',
    head=('Request-Id: oversized',),
    body=bytes(MAX_BODY_BYTES + 1),
)

_REJECTED = MappingProxyType(
    {Traffic.MALFORMED: _MALFORMED, Traffic.OVERSIZED: _OVERSIZED}
)


@attrs.define(kw_only=True, eq=False)
class RawCaller(StopCaller):
    """A caller that uses a connection until it ends."""

    _raw: RawConn | None = None

    async def send_one(self) -> None:
        conn = self._raw
        if conn is None:
            try:
                conn = await open_raw_conn(self.vm.callers, timeout=1)
            except OSError:
                await asyncio.sleep(PAUSE_S)
                return
            self._raw = conn
        requests, parts = self._make_batch()
        is_usable = False
        try:
            is_usable = await self._exchange_batch(conn, requests, parts)
        finally:
            if not is_usable:
                conn.close()
                self._raw = None
        await asyncio.sleep(
            max(min(each.retry_after, each.limit / 3) for each in requests)
        )

    def _make_batch(self) -> tuple[list[StopRequest], list[bytes]]:
        """Return requests and the pieces in which they are sent."""
        if self.traffic is Traffic.PIPELINED:
            size = self.rng.randint(_MIN_BATCH, _MAX_BATCH)
            made = [
                self.make_request(max_work_s=_MAX_BATCH_WORK_S)
                for _ in range(size)
            ]
            message = b''.join(message for _, message in made)
            return [request for request, _ in made], [message]
        if self.traffic is Traffic.HALVES:
            size = self.rng.randint(_MIN_UPLOAD_BYTES, _MAX_UPLOAD_BYTES)
            request, message = self.make_request(body=b'u' * size)
            middle = self.rng.randrange(1, len(message))
            return [request], [message[:middle], message[middle:]]
        request, message = self.make_request()
        if self.traffic is Traffic.LARGE:
            request.answer_bytes = _LARGE_ANSWER_BYTES
        return [request], [message]

    async def _exchange_batch(
        self, conn: RawConn, requests: list[StopRequest], parts: list[bytes]
    ) -> bool:
        """Return whether the connection can be used again."""
        began_at = time.monotonic()
        try:
            await self._send_parts(conn, parts)
        except OSError:
            """What was answered before the end is read below."""
        now = time.monotonic()
        for request in requests:
            request.sent_at = now
            request.limit -= now - began_at
        rejected = await self._send_rejected(conn)
        if self.traffic is Traffic.LARGE:
            await asyncio.sleep(self.rng.uniform(0, _MAX_READING_DELAY_S))
        limit = max(request.limit for request in requests)
        is_usable = not rejected
        waiting = list(requests)
        try:
            async with asyncio.timeout_at(_get_loop_time(now + limit)):
                while waiting:
                    answer = await conn.read_answer()
                    self._note(waiting.pop(0), answer)
                    is_usable = is_usable and not answer.closes
                if rejected:
                    await conn.read_answer()
        except TimeoutError:
            is_usable = False
            for late in waiting:
                late.gave_up = True
        except (OSError, EOFError):
            is_usable = False
        for unanswered in waiting:
            unanswered.ended_at = time.monotonic()
        return is_usable

    async def _send_parts(self, conn: RawConn, parts: list[bytes]) -> None:
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(self.rng.uniform(0, _MAX_UPLOAD_PAUSE_S))
            await conn.send(part)

    async def _send_rejected(self, conn: RawConn) -> bytes:
        """Send a message to be rejected behind some requests; return it."""
        message = _REJECTED.get(self.traffic, b'')
        if not message or self.rng.random() > _REJECTED_SHARE:
            return b''
        await asyncio.sleep(self.rng.uniform(0, _MAX_REJECTED_DELAY_S))
        try:
            await conn.send(message)
        except OSError:
            """The end of the connection is noticed by reading."""
        return message

    def _note(self, request: StopRequest, answer: RawAnswer) -> None:
        request.ended_at = time.monotonic()
        request.status = answer.status
        request.has_proof = 'response-seal' in answer.head
        request.retry_after = float(answer.head.get('retry-after', '0'))
        answered_id = answer.head.get('request-id', request.request_id)
        if request.has_proof and answered_id != request.request_id:
            self.records.violations.append(
                f'{request.request_id} got the answer to {answered_id}'
            )


def _get_loop_time(monotonic: float) -> float:
    """Return the time of the event loop at which a caller gives up."""
    left = monotonic + PATIENCE_S - time.monotonic()
    return asyncio.get_running_loop().time() + left
