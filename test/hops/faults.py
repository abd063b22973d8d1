"""Inject faults at the steps of a request."""

import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError

Proceed = Callable[[], Awaitable[Any]]

#: A fault to inject; it calls the function to proceed as without a fault.
Fault = Callable[[Proceed], Awaitable[Any]]


def make_not_sent_error() -> NotSentError:
    return NotSentError(reason='refused', remedy='none')


def make_unknown_error() -> OutcomeUnknownError:
    return OutcomeUnknownError(reason='lost', remedy='none')


async def fail_before(proceed: Proceed) -> Any:
    raise make_not_sent_error()


async def lose_before(proceed: Proceed) -> Any:
    raise make_unknown_error()


async def lose_after(proceed: Proceed) -> Any:
    await proceed()
    raise make_unknown_error()


async def freeze_before(proceed: Proceed) -> Any:
    await anyio.sleep_forever()


async def freeze_after(proceed: Proceed) -> Any:
    await proceed()
    await anyio.sleep_forever()


async def no_fault(proceed: Proceed) -> Any:
    return await proceed()


@attrs.define(kw_only=True)
class Faults:
    """The faults that are still to be injected, by step."""

    pending: dict[str, list[Fault]] = attrs.field(factory=dict)

    def add(self, step: str, fault: Fault, *, times: int = 1) -> None:
        self.pending.setdefault(step, []).extend(itertools.repeat(fault, times))

    async def inject(
        self,
        step: str,
        proceed: Proceed,
    ) -> Any:
        faults = self.pending.get(step)
        if faults:
            return await faults.pop(0)(proceed)
        return await proceed()
