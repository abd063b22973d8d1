"""Calls of the local target to other services that are under way."""

from collections.abc import Awaitable, Callable
from functools import partial

from goldcrestwharf.capacity import ConcurrencyMeter
from goldcrestwharf.http1 import Answer, Request

_Handler = Callable[[Request], Awaitable[Answer]]


class TargetCalls:
    """Counter of the calls that the local target makes through this daemon.

    They come from the IP address of the target, ``host``. ``meter`` counts
    those under way.
    """

    def __init__(self, *, host: str, clock: Callable[[], float]) -> None:
        """Start without calls; ``clock`` returns monotonic seconds."""
        self.meter = ConcurrencyMeter(clock=clock)
        self._host = host

    def count(self, handler: _Handler) -> _Handler:
        """Return a handler that counts the calls among its requests."""
        return partial(self._answer, handler)

    def _answer(self, handler: _Handler, req: Request) -> Awaitable[Answer]:
        if req.caller == self._host:
            return self._count(handler, req)
        return handler(req)

    async def _count(self, handler: _Handler, req: Request) -> Answer:
        self.meter.change(1)
        try:
            return await handler(req)
        finally:
            self.meter.change(-1)
