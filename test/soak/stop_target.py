"""A target that works for as long as each request says."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from goldcrestwharf.http1 import (
    Answer,
    ExchangeError,
    HttpListener,
    Request,
    connect,
)
from test.soak.stop_records import StopRecords, StopRequest, StopRun
from test.soak.vm import LOOPBACK, render_request

_HEARTBEAT_INTERVAL_S = 0.5
_SLOTS = 18
_MS_PER_S = 1000


class StopTarget:
    """Target that records its runs; it stays up while its daemon stops."""

    def __init__(
        self, *, vm: str, service: str, records: StopRecords, control: str
    ) -> None:
        self.address = ''
        self.call_on: Callable[[], Awaitable[None]] = _do_nothing
        self._vm = vm
        self._service = service
        self._records = records
        self._control = control
        self._sequence = 0
        self._born = 1
        self._state = 'ready'
        self._listener = HttpListener(handler=self._respond)

    async def listen(self) -> None:
        self.address = await self._listener.listen(f'{LOOPBACK}:0')

    def close(self) -> None:
        self._listener.close()

    async def leave_for(self, seconds: float) -> None:
        """Report that the target drains, then that it started again."""
        self._state = 'draining'
        await self._send_heartbeat()
        await asyncio.sleep(seconds)
        self._born += 1
        self._sequence = 0
        self._state = 'ready'

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the daemon until cancelled."""
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        document = {
            'born': self._born,
            'address': self.address,
            'info': {
                'service': self._service,
                'version': 'v1',
                'zone': 'z',
                'slot_count': _SLOTS,
            },
            'status': {
                'state': self._state,
                'sequence': self._sequence,
                'warmup_left': '0ms',
            },
        }
        message = render_request(
            'POST',
            f'/-/instances/i-{self._vm}/heartbeat',
            body=json.dumps(document).encode(),
        )
        try:
            conn = await connect(self._control, timeout=0.5)
        except OSError:
            return
        try:
            async with asyncio.timeout(1):
                await conn.exchange(message)
        except (TimeoutError, ExchangeError):
            return
        finally:
            conn.close()

    async def _work(self, sent: StopRequest, left: float) -> None:
        await asyncio.sleep(min(sent.work_s, left))
        if sent.calls_on:
            await self.call_on()

    async def _respond(self, req: Request) -> Answer:
        request_id = (req.find(b'request-id') or b'').decode()
        run = StopRun(
            request_id=request_id, vm=self._vm, began_at=time.monotonic()
        )
        self._records.add_run(run)
        sent = self._records.requests.get(request_id)
        if sent is None:
            self._records.violations.append(f'{request_id} was never sent')
            return Answer(status=HTTPStatus.NOT_FOUND)
        left = int(req.find(b'deadline-ms') or b'0') / _MS_PER_S
        try:
            await self._work(sent, left)
        except asyncio.CancelledError:
            run.is_cut = True
            raise
        finally:
            run.ended_at = time.monotonic()
        is_late = sent.work_s > left
        return Answer(
            status=HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.OK,
            head=b'Request-Id: %b\r\nResponse-Seal: p\r\n'
            % request_id.encode(),
            body=(b'done %b' % request_id.encode()).ljust(sent.answer_bytes),
        )


async def _do_nothing() -> None:
    """Make no call."""
