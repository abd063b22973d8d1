"""Serve the metrics on the port that the deploy file names."""

import asyncio
import http
import importlib
from typing import Protocol

from goldcrestwharf.http1 import Answer, HttpListener, Request

#: The port and the path under ``metrics`` in ``deploy/system.toml``.
METRICS_PORT = 9464
METRICS_PATH = '/metrics'

#: Seconds after the start until the library of metrics is loaded, so that
#: a daemon that was restarted serves callers first.
_DELAY_S = 1.5


class _Reader(Protocol):
    def render(self) -> str:
        """Return all metrics as text."""


class MetricsAddress:
    """Answer with the metrics of this process."""

    def __init__(self, *, reader: _Reader) -> None:
        """Render what ``reader`` has collected."""
        self._reader = reader

    async def answer(self, req: Request) -> Answer:
        """Return the metrics as text."""
        if req.path != METRICS_PATH:
            return Answer(status=http.HTTPStatus.NOT_FOUND)
        return Answer(
            status=http.HTTPStatus.OK,
            head=b'Content-Type: text/plain; version=0.0.4\r\n',
            body=self._reader.render().encode(),
        )


async def serve_metrics(host: str) -> None:
    """Listen for questions, once the daemon has been up for a while."""
    await asyncio.sleep(_DELAY_S)
    exposition = importlib.import_module('goldcrestwharf.exposition')
    address = MetricsAddress(reader=exposition.MetricsReader())
    await HttpListener(handler=address.answer).listen(f'{host}:{METRICS_PORT}')
