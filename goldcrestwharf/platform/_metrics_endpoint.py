"""Serve metrics on the port that the deployment file declares."""

import asyncio
import http
import importlib
from typing import Protocol

from goldcrestwharf.http1 import (
    Answer,
    CallerBounds,
    HttpListener,
    Request,
)

#: The port and the path under ``metrics`` in ``deploy/system.toml``.
METRICS_PORT = 9464
METRICS_PATH = '/metrics'

#: Delay after the start before the metrics library is imported, so that a
#: restarted daemon serves callers first.
_START_DELAY_S = 1.5


class _Reader(Protocol):
    def render(self) -> str:
        """Return all metrics as text."""


class MetricsHandler:
    """HTTP handler that returns the metrics of this process."""

    def __init__(self, *, reader: _Reader) -> None:
        """Return the metrics that ``reader`` has collected."""
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


async def serve_metrics(host: str, bounds: CallerBounds) -> None:
    """Listen for metrics requests, some time after the start.

    ``bounds`` are those of all listeners of the process.
    """
    await asyncio.sleep(_START_DELAY_S)
    exposition = importlib.import_module('goldcrestwharf.exposition')
    handler = MetricsHandler(reader=exposition.MetricsReader())
    listener = HttpListener(handler=handler.answer, bounds=bounds)
    await listener.listen(f'{host}:{METRICS_PORT}')
