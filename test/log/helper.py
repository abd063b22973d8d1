"""Openers of the log implementations that the contract tests run against."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Protocol

import anyio
import attrs

from goldcrestwharf.log import (
    HttpLog,
    Log,
    LogLimits,
    MemoryLog,
    PlatformSettings,
    open_log,
    serve_log,
)
from goldcrestwharf.timers import SystemTimers, Timers
from test.helper import LOOPBACK, make_rng

#: Limit for a request that hangs; no result depends on it.
HANG_TIMEOUT_MS = 30_000

CLIENT_SETTINGS = PlatformSettings(
    max_tries=1,
    backoff_base_ms=1,
    backoff_cap_ms=2,
)


@attrs.frozen(kw_only=True)
class LogUnderTest:
    """Log under test, and the in-memory log behind it, which injects faults."""

    log: Log
    memory_log: MemoryLog


class OpenLog(Protocol):
    def __call__(
        self,
        limits: LogLimits | None = None,
    ) -> AbstractAsyncContextManager[LogUnderTest]: ...


@asynccontextmanager
async def open_in_memory(
    limits: LogLimits | None = None,
) -> AsyncIterator[LogUnderTest]:
    log = MemoryLog(timers=SystemTimers(), limits=limits)
    yield LogUnderTest(log=log, memory_log=log)


@asynccontextmanager
async def open_over_http(
    limits: LogLimits | None = None,
) -> AsyncIterator[LogUnderTest]:
    memory_log = MemoryLog(timers=SystemTimers(), limits=limits)
    stopping = anyio.Event()

    async def serve(
        *,
        task_status: anyio.abc.TaskStatus[str],
    ) -> None:
        await serve_log(
            LOOPBACK,
            memory_log,
            stopping=stopping,
            task_status=task_status,
        )

    async with anyio.create_task_group() as tg:
        address = await tg.start(serve)
        async with open_client(address) as log:
            yield LogUnderTest(log=log, memory_log=memory_log)
        stopping.set()


@asynccontextmanager
async def open_client(
    address: str,
    timers: Timers | None = None,
    timeout_ms: int = HANG_TIMEOUT_MS,
) -> AsyncIterator[HttpLog]:
    cfg = attrs.evolve(
        CLIENT_SETTINGS,
        url=f'http://{address}',
        request_timeout_ms=timeout_ms,
    )
    opening = open_log(
        cfg=cfg,
        timers=timers or SystemTimers(),
        rng=make_rng(),
    )
    async with opening as log:
        yield log
