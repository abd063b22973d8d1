"""Let faults happen at the steps of a request."""

import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError

GoOn = Callable[[], Awaitable[Any]]

#: Let a fault happen; call the function to go on as if there were none.
Fault = Callable[[GoOn], Awaitable[Any]]


def not_sent() -> NotSentError:
    return NotSentError(reason='refused', remedy='none')


def unknown() -> OutcomeUnknownError:
    return OutcomeUnknownError(reason='lost', remedy='none')


async def fail_before(go_on: GoOn) -> Any:
    raise not_sent()


async def lose_before(go_on: GoOn) -> Any:
    raise unknown()


async def lose_after(go_on: GoOn) -> Any:
    await go_on()
    raise unknown()


async def freeze_before(go_on: GoOn) -> Any:
    await anyio.sleep_forever()


async def freeze_after(go_on: GoOn) -> Any:
    await go_on()
    await anyio.sleep_forever()


async def pass_on(go_on: GoOn) -> Any:
    return await go_on()


@attrs.define(kw_only=True)
class Faults:
    """Hold the faults that are still to happen, by step."""

    pending: dict[str, list[Fault]] = attrs.field(factory=dict)

    def add(self, step: str, fault: Fault, *, times: int = 1) -> None:
        self.pending.setdefault(step, []).extend(itertools.repeat(fault, times))

    async def pass_by(
        self,
        step: str,
        go_on: GoOn,
    ) -> Any:
        faults = self.pending.get(step)
        if faults:
            return await faults.pop(0)(go_on)
        return await go_on()
