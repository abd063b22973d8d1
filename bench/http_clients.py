"""Compare HTTP clients that send requests to the same target.

The target runs in a separate process. The clients take turns in short rounds,
so that other load on the machine affects all alike. Each size is the number
of concurrent requests. Only this measurement needs ``aiohttp``.
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
_ROUND_COUNT = 8
_CALLS_PER_ROUND = 120
_US_PER_S = 1_000_000
_PATH = '/menu/today?kitchen=12'
_HEADERS = (
    ('accept', 'application/json'),
    ('user-agent', 'bench'),
    ('x-request-id', '0123456789abcdef'),
    ('traceparent', '00-0123456789abcdef0123456789abcdef-0123456789abcdef-01'),
)

#: Sends one request and returns the body of the response.
Call = Callable[[], Awaitable[bytes]]


class AiohttpTransport(httpx.AsyncBaseTransport):
    """An httpx transport that sends requests with aiohttp."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use the connections of ``session``."""
        self._session = session

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send a request and return the complete response."""
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
class ClientStats:
    """The latencies and the processor time of one client."""

    call: Call
    latencies: list[float] = attrs.field(factory=list)
    cpu: float = 0

    async def run_round(self, size: int) -> None:
        """Make the calls of one round, ``size`` concurrently."""
        cpu_started = time.process_time()
        async with anyio.create_task_group() as tg:
            for _ in range(size):
                tg.start_soon(self._run_calls, _CALLS_PER_ROUND // size)
        self.cpu += time.process_time() - cpu_started

    def describe(self) -> dict[str, int]:
        """Return the results in microseconds."""
        percentiles = statistics.quantiles(self.latencies, n=100)
        return {
            'p50_us': round(percentiles[49] * _US_PER_S),
            'p99_us': round(percentiles[98] * _US_PER_S),
            'cpu_us': round(self.cpu / len(self.latencies) * _US_PER_S),
        }

    async def _run_calls(self, calls: int) -> None:
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
    """Return a call through the target client of the hops."""
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
    """Compare the clients at ``address``."""
    url = f'http://{address}{_PATH}'
    h11_client = H11TargetClient(timers=SystemTimers(), cfg=HopsSettings())
    async with (
        aiohttp.ClientSession() as session,
        httpx.AsyncClient() as httpx_client,
        httpx.AsyncClient(
            transport=AiohttpTransport(session)
        ) as httpx_over_aiohttp,
    ):
        await compare(
            {
                'httpx': call_httpx(httpx_client, url),
                'httpx over aiohttp': call_httpx(httpx_over_aiohttp, url),
                'aiohttp': call_aiohttp(session, url),
                'h11 over anyio': call_h11(h11_client, address),
            }
        )
    await h11_client.close()


async def compare(calls: Mapping[str, Call]) -> None:
    """Run the clients in turn and print the results of each size."""
    for size in _SIZES:
        stats_by_client = {
            name: ClientStats(call=call) for name, call in calls.items()
        }
        for _ in range(_ROUND_COUNT):
            for client_stats in stats_by_client.values():
                await client_stats.run_round(size)
        print_stats(size, stats_by_client)


def print_stats(size: int, stats_by_client: Mapping[str, ClientStats]) -> None:
    """Print one line for each client."""
    for name, client_stats in stats_by_client.items():
        line = {'bench': 'http_clients', 'size': size, 'client': name}
        print(json.dumps(line | client_stats.describe()), flush=True)


def main() -> None:
    """Start the target and compare."""
    with start('bench.mesh_target') as target:
        anyio.run(measure, target.addresses[0])


if __name__ == '__main__':
    main()
