"""Callers that keep using a daemon until its process is gone."""

import asyncio
import random
import time
from types import MappingProxyType

import attrs

from goldcrestwharf.http1 import ClientConn, ExchangeError, Response, connect
from test.soak.stop_records import StopRecords, StopRequest
from test.soak.stop_traffic import Traffic
from test.soak.stop_vm import StopVm
from test.soak.vm import render_request

HOST_NAME = 'shop.example'

#: Timeouts of the routes of each service, in seconds.
TIMEOUTS_S = (2, 3, 4, 5)

_MS_PER_S = 1000
_MIN_WORK_S = 0.02
_MAX_WORK_S = 3.0

#: Share of the requests whose work takes up to that; the others are short.
_LONG_SHARE = 0.6
_SHORT_WORK_S = 0.3

_REPEATABLE_SHARE = 0.2

#: Seconds past its deadline for which a caller waits for an answer.
PATIENCE_S = 1.0

PAUSE_S = 0.03

#: Longest pauses between two requests, shares of long ones, and bounds of
#: deadlines; times are in seconds.
_LONGEST_PAUSES_S = MappingProxyType({Traffic.IDLE: 2.0})
_LONG_SHARES = MappingProxyType({Traffic.BRIEF: 0.01})
_DEADLINES_S = MappingProxyType({Traffic.SHORT: (2.0, 4.0)})


@attrs.define(kw_only=True, eq=False)
class StopCaller:
    """A caller at one VM with a persistent connection.

    One that ``heeds_readiness`` sends nothing new to a daemon that stops once
    two checks a second apart would have failed.
    """

    vm: StopVm
    services: tuple[str, ...]
    records: StopRecords
    rng: random.Random
    heeds_readiness: bool
    traffic: Traffic = Traffic.SINGLE
    _conn: ClientConn | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            longest = _LONGEST_PAUSES_S.get(self.traffic, PAUSE_S)
            await asyncio.sleep(self.rng.uniform(0, longest))
            if not self._is_taken_out():
                await self.send_one()

    async def send_one(self) -> None:
        """Send one request, on the open connection if there is one."""
        conn = self._conn
        if conn is None or not conn.is_usable:
            try:
                conn = await connect(self.vm.callers, timeout=1)
            except OSError:
                await asyncio.sleep(PAUSE_S)
                return
            self._conn = conn
        request, message = self.make_request()
        await self._exchange(conn, request, message)
        if request.retry_after:
            await asyncio.sleep(min(request.retry_after, request.limit / 3))

    def make_request(
        self, *, max_work_s: float = _MAX_WORK_S, body: bytes = b''
    ) -> tuple[StopRequest, bytes]:
        """Return a new request and its message.

        One with a ``body`` is not repeatable.
        """
        rng = self.rng
        timeout = rng.choice(TIMEOUTS_S)
        deadline = rng.uniform(*_DEADLINES_S.get(self.traffic, (3, 6)))
        service = rng.choice(self.services)
        is_long = rng.random() < _LONG_SHARES.get(self.traffic, _LONG_SHARE)
        longest = max_work_s if is_long else _SHORT_WORK_S
        work_s = rng.uniform(_MIN_WORK_S, longest) + self.records.extra_work_s
        request = StopRequest(
            request_id=f'r-{len(self.records.requests)}',
            vm=self.vm.name,
            service=service,
            is_repeatable=rng.random() < _REPEATABLE_SHARE and not body,
            limit=min(timeout, deadline),
            work_s=work_s,
            calls_on=self.traffic is Traffic.NESTED,
            sent_at=time.monotonic(),
        )
        self.records.requests[request.request_id] = request
        kind = 'get' if request.is_repeatable else 'order'
        message = render_request(
            'GET' if request.is_repeatable else 'POST',
            f'/{kind}/{service}/{timeout}/{request.request_id}',
            host=HOST_NAME,
            head=(
                f'Request-Id: {request.request_id}',
                f'Deadline-Ms: {round(deadline * _MS_PER_S)}',
            ),
            body=b'' if request.is_repeatable else body or b'what is ordered',
        )
        return request, message

    def close(self) -> None:
        if self._conn is not None:
            self._conn.close()

    def _is_taken_out(self) -> bool:
        stops = self.records.stops
        if not (self.heeds_readiness and self.vm.is_stopping):
            return False
        began_at = max(
            stop.began_at for stop in stops if stop.vm == self.vm.name
        )
        return time.monotonic() > began_at + 2

    async def _exchange(
        self, conn: ClientConn, request: StopRequest, message: bytes
    ) -> None:
        answer: Response | None = None
        try:
            async with asyncio.timeout(request.limit + PATIENCE_S):
                answer = await conn.exchange(message)
        except TimeoutError:
            request.gave_up = True
        except ExchangeError:
            conn.close()
        request.ended_at = time.monotonic()
        if answer is not None:
            request.status = answer.status
            request.has_proof = answer.find(b'response-seal') is not None
            request.retry_after = float(answer.find(b'retry-after') or 0)
