"""Run a target and announce it to the daemon on the same VM.

For example::

    python examples/lunch_target.py --name menu-1 --group menu-pool \
        --port 9001 --daemon http://127.0.0.1:7002

Each response contains the name of the target and the number from the
request, so that a caller can check that the response is to its own request.
"""

import argparse
import signal
from collections import Counter
from pathlib import Path

import anyio
import httpx
from anyio.abc import TaskStatus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from goldcrestwharf.servers import HttpServer

_HOST = '127.0.0.1'
_RENEWAL_INTERVAL_S = 1
_SLOTS = 12
_ANNOUNCE_TIMEOUT_S = 5


class LunchTarget:
    """An HTTP application that counts the runs of each request."""

    def __init__(self, *, name: str, work_s: float, ledger: str) -> None:
        """Answer as ``name`` after ``work_s`` seconds.

        Each run is also appended to the file ``ledger``, unless it is empty.
        """
        self._name = name
        self._work_s = work_s
        self._runs: Counter[str] = Counter()
        self._ledger = Path(ledger) if ledger else None

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        methods = ['GET', 'POST', 'PUT', 'DELETE']
        return Starlette(
            routes=[
                Route('/ledger', self.show_ledger),
                Route('/health', self.show_health),
                Route('/{path:path}', self.answer, methods=methods),
            ],
        )

    async def answer(self, request: Request) -> JSONResponse:
        """Run one request and record the run."""
        number = request.headers.get('request-number', '')
        self._record_run(number)
        await anyio.sleep(self._work_s)
        body = await request.body()
        return JSONResponse(
            {
                'target': self._name,
                'path': request.url.path,
                'number': number,
                'bytes': len(body),
            },
        )

    async def show_ledger(self, _request: Request) -> JSONResponse:
        """Return how often each request ran, by its number."""
        return JSONResponse(self._runs)

    async def show_health(self, _request: Request) -> JSONResponse:
        """Return that the target is up."""
        return JSONResponse({'target': self._name, 'ok': True})

    def _record_run(self, number: str) -> None:
        self._runs[number] += 1
        if self._ledger is not None:
            with self._ledger.open('a', encoding='utf-8') as ledger:
                ledger.write(f'{number}\n')


class Announcer:
    """Announces the target and renews the announcement until cancelled."""

    def __init__(self, *, options: argparse.Namespace) -> None:
        """Announce the target of the command line."""
        self._options = options
        self._url = f'{options.daemon}/v1/targets/{options.name}'

    async def run(
        self,
        *,
        task_status: TaskStatus[anyio.CancelScope],
    ) -> None:
        """Renew the announcement until the scope is cancelled."""
        with anyio.CancelScope() as scope:
            task_status.started(scope)
            await self._renew()

    async def leave(self) -> None:
        """Ask the daemon to send no new requests."""
        async with httpx.AsyncClient(timeout=_ANNOUNCE_TIMEOUT_S) as client:
            await client.post(f'{self._url}/leave')

    async def _renew(self) -> None:
        async with httpx.AsyncClient(timeout=_ANNOUNCE_TIMEOUT_S) as client:
            while True:
                await self._announce(client)
                await anyio.sleep(_RENEWAL_INTERVAL_S)

    async def _announce(self, client: httpx.AsyncClient) -> None:
        options = self._options
        announcement = {
            'group': options.group,
            'address': f'{_HOST}:{options.port}',
            'slots': options.slots,
        }
        try:
            answer = await client.put(self._url, json=announcement)
        except httpx.HTTPError as exc:
            print(f'{options.name}: the daemon does not answer: {exc}')
            return
        if answer.is_error:
            print(f'{options.name}: refused: {answer.text}')


async def main() -> None:
    """Serve until SIGTERM or SIGINT, then leave and finish open requests."""
    options = _parse_options()
    target = LunchTarget(
        name=options.name,
        work_s=options.work_ms / 1000,
        ledger=options.ledger,
    )
    server = HttpServer(
        app=target.make_app(),
        address=f'{_HOST}:{options.port}',
    )
    async with anyio.create_task_group() as tg:
        await tg.start(server.run)
        await _announce_until_stop(Announcer(options=options))
        server.stop()


async def _announce_until_stop(announcer: Announcer) -> None:
    async with anyio.create_task_group() as tg:
        await tg.start(announcer.run)
        await _wait_for_stop_signal()
        tg.cancel_scope.cancel()
    await announcer.leave()


async def _wait_for_stop_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as sent:
        await anext(sent)


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--group', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument(
        '--daemon', required=True, help='base URL of its local address'
    )
    parser.add_argument('--slots', type=int, default=_SLOTS)
    parser.add_argument('--work-ms', type=float, default=2)
    parser.add_argument('--ledger', default='', help='file to append runs to')
    return parser.parse_args()


if __name__ == '__main__':
    anyio.run(main)
