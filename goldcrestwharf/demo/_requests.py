"""Send the requests of a demo and check each answer."""

import anyio
import attrs
import httpx

from goldcrestwharf.demo._plan import DemoPlan

_AT_ONCE = 16


@attrs.define(kw_only=True, eq=False)
class Load:
    """Send numbered requests to all daemons in turn.

    ``answered`` counts those that got the whole answer to their own number;
    ``targets`` names who answered and ``wrong`` describes the others.
    """

    plan: DemoPlan
    client: httpx.AsyncClient
    sent: int = 0
    answered: int = 0
    targets: set[str] = attrs.field(factory=set)
    wrong: list[str] = attrs.field(factory=list)

    async def run(self, method: str, path: str) -> None:
        """Send one round of requests."""
        limiter = anyio.CapacityLimiter(_AT_ONCE)
        async with anyio.create_task_group() as tg:
            for _ in range(self.plan.requests):
                self.sent += 1
                numbered = _Numbered(
                    number=self.sent,
                    method=method,
                    path=path,
                )
                tg.start_soon(self._send, numbered, limiter)

    async def _send(
        self,
        numbered: '_Numbered',
        limiter: anyio.CapacityLimiter,
    ) -> None:
        callers = self.plan.callers
        caller = callers[numbered.number % len(callers)]
        async with limiter:
            try:
                answer = await self.client.request(
                    numbered.method,
                    f'http://{caller}{numbered.path}',
                    headers={'request-number': str(numbered.number)},
                )
            except httpx.HTTPError as exc:
                self.wrong.append(f'{numbered.number}: {exc!r}')
                return
        self._check(str(numbered.number), answer)

    def _check(self, number: str, answer: httpx.Response) -> None:
        if answer.is_error:
            self.wrong.append(f'{number}: {answer.status_code} {answer.text}')
            return
        body = answer.json()
        answered = body['number']
        if answered == number:
            self.answered += 1
            self.targets.add(body['target'])
        else:
            self.wrong.append(f'{number}: got the answer to {answered}')


@attrs.frozen(kw_only=True)
class _Numbered:
    """Describe one request."""

    number: int
    method: str
    path: str
