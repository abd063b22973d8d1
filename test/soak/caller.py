"""Send requests to one machine and note what comes back."""

import asyncio
import time

import attrs

from goldcrestwharf.http1 import ClientConn, ExchangeError, Response, connect
from test.soak.machine import Machine, render
from test.soak.records import Records, Seen

_DEADLINE_MS = 800

#: Seconds that a caller waits at most; its deadline is well before.
_PATIENCE_S = 3.0


@attrs.define(kw_only=True, eq=False)
class Caller:
    """Send one request after the other to one machine."""

    records: Records
    machine: Machine
    _conn: ClientConn | None = None

    async def send_one(self, *, is_repeatable: bool) -> bool:
        """Tell whether the request was served."""
        seen = self.records.ask(1, is_repeatable=is_repeatable)
        began_at = time.monotonic()
        answer = await self._exchange(seen)
        seen.took = time.monotonic() - began_at
        if answer is None:
            return False
        seen.status = answer.status
        seen.body = answer.body
        seen.has_proof = answer.find(b'response-seal') is not None
        return seen.status == 200

    async def _exchange(self, seen: Seen) -> Response | None:
        if self._conn is None or not self._conn.is_usable:
            try:
                self._conn = await connect(self.machine.callers, timeout=0.5)
            except OSError:
                await asyncio.sleep(0.1)
                return None
        return await exchange(
            self._conn,
            seen,
            'shop.example' if seen.is_repeatable else 'order.example',
        )


async def exchange(
    conn: ClientConn,
    seen: Seen,
    host: str,
) -> Response | None:
    """Return the answer, ``None`` if there is none."""
    head = (f'Request-Id: {seen.request_id}', f'Deadline-Ms: {_DEADLINE_MS}')
    message = render(
        seen.method,
        seen.path,
        host=host,
        head=head,
        body=seen.order,
    )
    try:
        async with asyncio.timeout(_PATIENCE_S):
            return await conn.exchange(message)
    except (TimeoutError, ExchangeError):
        return None
