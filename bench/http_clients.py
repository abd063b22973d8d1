"""Compare HTTP clients towards a target, side by side in one run.

The target is a process of its own. The clients take turns in short rounds,
so that each meets the same load of the machine. Each size is the number of
requests in flight at once. ``aiohttp`` is needed for this measurement only.
"""

import json
import statistics
import time
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import anyio
import attrs
import httpx

from bench.hops import start
from goldcrestwharf.hops import H11TargetClient, HopsSettings, TargetRequest
from goldcrestwharf.timers import SystemTimers

_SIZES = (1, 4, 16)
_ROUNDS = 8
_CALLS_PER_ROUND = 120
_MICROSECONDS = 1_000_000
_PATH = '/menu/today?kitchen=12'
_HEADERS = (
    ('accept', 'application/json'),
    ('user-agent', 'bench'),
    ('x-request-id', '0123456789abcdef'),
    ('traceparent', '00-0123456789abcdef0123456789abcdef-0123456789abcdef-01'),
)

#: Send one request and return the whole body of its answer.
Call = Callable[[], Awaitable[bytes]]


class AiohttpTransport(httpx.AsyncBaseTransport):
    """Carry the requests of httpx over aiohttp."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use the connections of ``session``."""
        self._session = session

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Return the whole answer."""
        async with self._session.request(
            request.method,
            str(request.url),
            headers=request.headers.multi_items(),
            data=request.content,
        ) as answer:
            return httpx.Response(
                answer.status,
                headers=answer.raw_headers,
                content=await answer.read(),
            )


@attrs.define(kw_only=True)
class Ledger:
    """Keep the figures of one client."""

    call: Call
    latencies: list[float] = attrs.field(factory=list)
    cpu: float = 0

    async def run_round(self, size: int) -> None:
        """Make the calls of one round, ``size`` at a time."""
        cpu_started = time.process_time()
        async with anyio.create_task_group() as tg:
            for _ in range(size):
                tg.start_soon(self._run, _CALLS_PER_ROUND // size)
        self.cpu += time.process_time() - cpu_started

    def describe(self) -> dict[str, int]:
        """Return the figures in microseconds."""
        cuts = statistics.quantiles(self.latencies, n=100)
        return {
            'p50_us': round(cuts[49] * _MICROSECONDS),
            'p99_us': round(cuts[98] * _MICROSECONDS),
            'cpu_us': round(self.cpu / len(self.latencies) * _MICROSECONDS),
        }

    async def _run(self, calls: int) -> None:
        while calls:
            calls -= 1
            started = time.perf_counter()
            await self.call()
            self.latencies.append(time.perf_counter() - started)


def call_httpx(client: httpx.AsyncClient, url: str) -> Call:
    """Return a call through ``client``."""

    async def factory() -> bytes:
        answer = await client.get(url, headers=_HEADERS)
        return answer.content

    return factory


def call_aiohttp(session: aiohttp.ClientSession, url: str) -> Call:
    """Return a call through ``session``."""

    async def factory() -> bytes:
        async with session.get(url, headers=_HEADERS) as answer:
            return await answer.read()

    return factory


def call_h11(client: H11TargetClient, address: str) -> Call:
    """Return a call through the client of the hops."""
    headers = [(name.encode(), field.encode()) for name, field in _HEADERS]
    req = TargetRequest(
        method=b'GET',
        path=_PATH.encode(),
        headers=((b'host', address.encode()), *headers),
        body=b'',
        remaining=30,
    )

    async def factory() -> bytes:
        answer = await client.send(address, req)
        return answer.body

    return factory


async def measure(address: str) -> None:
    """Print the figures of each client and size."""
    url = f'http://{address}{_PATH}'
    own = H11TargetClient(timers=SystemTimers(), cfg=HopsSettings())
    async with (
        aiohttp.ClientSession() as session,
        httpx.AsyncClient() as plain,
        httpx.AsyncClient(transport=AiohttpTransport(session)) as mixed,
    ):
        await compare(
            {
                'httpx': call_httpx(plain, url),
                'httpx over aiohttp': call_httpx(mixed, url),
                'aiohttp': call_aiohttp(session, url),
                'h11 over anyio': call_h11(own, address),
            }
        )
    await own.close()


async def compare(calls: Mapping[str, Call]) -> None:
    """Let the clients take turns."""
    for size in _SIZES:
        ledgers = {name: Ledger(call=call) for name, call in calls.items()}
        for _ in range(_ROUNDS):
            for ledger in ledgers.values():
                await ledger.run_round(size)
        print_figures(size, ledgers)


def print_figures(size: int, ledgers: Mapping[str, Ledger]) -> None:
    """Print one line for each client."""
    for name, ledger in ledgers.items():
        line = {'bench': 'http_clients', 'size': size, 'client': name}
        print(json.dumps(line | ledger.describe()), flush=True)


def main() -> None:
    """Start the target and compare."""
    with start('bench.mesh_target') as target:
        anyio.run(measure, target.addresses[0])


if __name__ == '__main__':
    main()
