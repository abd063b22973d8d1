"""State that all connections of a listener share."""

import asyncio
import http
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import attrs

from goldcrestwharf.http1._caller_bounds import CallerBounds
from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._messages import Answer, Request
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.transfers import BodyBudget

_log = EventLog(__name__)

#: States that a request was not run, and never will be.
REFUSAL = Answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE)

Handler = Callable[[Request], Awaitable[Answer]]


@attrs.define(kw_only=True, eq=False)
class ListenerState:
    """The state that all connections of a listener share.

    While ``is_draining`` is set, the answer to the last request that was read
    on a connection has ``Connection: close``. Once ``is_refusing`` is set,
    requests get ``refusal`` in place of the handler's answer. Once
    ``is_cut_off`` is set, those in progress are answered with status 504. Once
    ``is_closed`` is set, connections that were being accepted are closed.
    ``last_request_at`` is in seconds of ``clock``. ``budget`` is the memory
    for bodies, if it is bounded. ``bounds`` are shared with other listeners.
    """

    handler: Handler
    limits: Callable[[], CallerLimits]
    clock: Callable[[], float]
    budget: BodyBudget | None = None
    bounds: CallerBounds = attrs.field(factory=CallerBounds)
    conns: set[Any] = attrs.field(factory=set)
    tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)
    refusal: Answer = REFUSAL
    is_draining: bool = False
    is_refusing: bool = False
    is_cut_off: bool = False
    is_closed: bool = False
    in_flight: int = 0
    last_request_at: float = 0

    async def answer(self, req: Request) -> Answer:
        """Return the answer of the handler, or the refusal."""
        if self.is_refusing:
            _log.note('caller.refused_at_stop', path=req.path)
            return self.refusal
        try:
            return await self.handler(req)
        except asyncio.CancelledError as exc:
            if not self.is_cut_off and _is_cancelled():
                raise
            _log.note('caller.cut_off', path=req.path, cause=repr(exc))
            return Answer(status=http.HTTPStatus.GATEWAY_TIMEOUT)
        except Exception:
            _log.exception('caller.handler_failed')
            return Answer(status=http.HTTPStatus.INTERNAL_SERVER_ERROR)

    def cut_off(self) -> None:
        """End the requests in progress, which are still answered."""
        self.is_cut_off = True
        for task in self.tasks:
            task.cancel()

    def track(self, req: Request, task: 'asyncio.Task[None]') -> None:
        """Count ``req`` as in progress until ``task`` has ended."""
        self.in_flight += 1
        self.tasks.add(task)
        self.last_request_at = self.clock()
        # Called also if the task is cancelled before it runs.
        task.add_done_callback(partial(self._release, req.reserved))

    def _release(self, reserved: int, task: 'asyncio.Task[None]') -> None:
        self.in_flight -= 1
        self.tasks.discard(task)
        if self.budget is not None:
            self.budget.release(reserved)


def _is_cancelled() -> bool:
    """Return whether this task was cancelled, and not what it awaits."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
