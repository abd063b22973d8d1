"""A store that can fail for some of the daemons."""

import asyncio
import random
from functools import partial

import attrs

from goldcrestwharf.http1 import Answer, HttpListener, Request
from test.platform.helper import HOST, SILENCE_S, StubStore

_ANSWER_S = 0.004

#: Way of turning a daemon away that leaves its calls without an answer.
SILENT = 0


@attrs.frozen(kw_only=True)
class Failure:
    """How the store fails: a status, ``SILENT``, or a share of answers lost.

    ``is_late`` states that the calls whose answers are lost take effect.
    """

    status: int | None = None
    loss: float = 0


class FailingStore(StubStore):
    """A store with an address for each daemon.

    ``failures`` are those of single daemons. Each answer takes ``answer_s``.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__()
        self.failures: dict[str, Failure] = {}
        self.answer_s = _ANSWER_S
        self._rng = rng
        self._listeners: list[HttpListener] = []

    async def listen_for(self, daemon: str) -> str:
        """Return the address at which one daemon calls the store."""
        listener = HttpListener(handler=partial(self._respond_to, daemon))
        self._listeners.append(listener)
        return await listener.listen(f'{HOST}:0')

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()

    def slow_down(self, factor: float) -> None:
        self.answer_s = _ANSWER_S * factor

    async def _respond_to(self, daemon: str, req: Request) -> Answer:
        failure = self.failures.get(daemon, Failure())
        if failure.status == SILENT:
            await asyncio.sleep(SILENCE_S)
        if failure.status:
            return Answer(status=failure.status, body=b'{}')
        if self._rng.random() < failure.loss / 2:
            await asyncio.sleep(SILENCE_S)
        await asyncio.sleep(self.answer_s)
        answer = await self._respond(req)
        failure = self.failures.get(daemon, Failure())
        if failure.status == SILENT or self._rng.random() < failure.loss:
            await asyncio.sleep(SILENCE_S)
        return answer
