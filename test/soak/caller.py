"""Send requests to one VM and record the responses."""

import asyncio
import time

import attrs

from goldcrestwharf.http1 import ClientConn, ExchangeError, Response, connect
from test.soak.records import Records, SentRequest
from test.soak.vm import Vm, render_request
from test.soak.workspaces import UNLIMITED

_DEADLINE_MS = 800

#: Client timeout, well after the deadline that the request carries.
_CALLER_TIMEOUT_S = 3.0


@attrs.define(kw_only=True, eq=False)
class Caller:
    """A client that sends requests to one VM over a persistent connection."""

    records: Records
    vm: Vm
    _conn: ClientConn | None = None

    async def send_one(
        self,
        *,
        is_repeatable: bool,
        name: str = '',
        workspace: str = UNLIMITED,
        is_large: bool = False,
    ) -> bool:
        """Send a request and return whether it was answered with 200.

        Requests of one ``name`` have the same path. ``workspace`` is that of
        the caller if the run has any.
        """
        sent = self.records.add_request(
            1, is_repeatable=is_repeatable, name=name, is_large=is_large
        )
        self.records.authorize(sent, workspace)
        return await self.send(sent)

    async def send(self, sent: SentRequest) -> bool:
        """Send a request and record its answer."""
        began_at = time.monotonic()
        answer = await self._exchange(sent)
        sent.duration_s = time.monotonic() - began_at
        if answer is None:
            return False
        sent.status = answer.status
        sent.body = answer.body
        sent.has_proof = answer.find(b'response-seal') is not None
        return sent.status == 200

    def close(self) -> None:
        if self._conn is not None:
            self._conn.close()

    async def _exchange(self, sent: SentRequest) -> Response | None:
        if self._conn is None or not self._conn.is_usable:
            try:
                self._conn = await connect(self.vm.callers, timeout=0.5)
            except OSError:
                await asyncio.sleep(0.1)
                return None
        return await exchange(
            self._conn,
            sent,
            'shop.example' if sent.is_repeatable else 'order.example',
        )


async def exchange(
    conn: ClientConn,
    sent: SentRequest,
    host: str,
) -> Response | None:
    """Send a request and return the response, or ``None`` on failure."""
    head: tuple[str, ...] = (
        f'Request-Id: {sent.request_id}',
        f'Deadline-Ms: {_DEADLINE_MS}',
    )
    if sent.key:
        head += (f'Authorization: Bearer {sent.key}', 'Tenant-Id: forged')
    message = render_request(
        sent.method,
        sent.path,
        host=host,
        head=head,
        body=sent.request_body,
    )
    try:
        async with asyncio.timeout(_CALLER_TIMEOUT_S):
            return await conn.exchange(message)
    except (TimeoutError, ExchangeError):
        return None
