"""Send the requests of a demo and check their responses."""

import anyio
import attrs
import httpx

from goldcrestwharf.demo._plan import DemoPlan

_MAX_CONCURRENT_REQUESTS = 16


@attrs.define(kw_only=True, eq=False)
class Load:
    """Numbered requests that are sent to the daemons in turn.

    ``answered`` counts the requests whose response carries their own number,
    ``targets`` has the names of the targets that answered and ``failures`` a
    description of each other request.
    """

    plan: DemoPlan
    client: httpx.AsyncClient
    sent: int = 0
    answered: int = 0
    targets: set[str] = attrs.field(factory=set)
    failures: list[str] = attrs.field(factory=list)

    async def run(self, method: str, path: str) -> None:
        """Send one round of requests, a limited number at once."""
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)
        async with anyio.create_task_group() as tg:
            for _ in range(self.plan.requests):
                self.sent += 1
                request = _Request(
                    number=self.sent,
                    method=method,
                    path=path,
                )
                tg.start_soon(self._send, request, limiter)

    async def _send(
        self,
        request: '_Request',
        limiter: anyio.CapacityLimiter,
    ) -> None:
        callers = self.plan.caller_addresses
        caller = callers[request.number % len(callers)]
        async with limiter:
            try:
                answer = await self.client.request(
                    request.method,
                    f'http://{caller}{request.path}',
                    headers={'request-number': str(request.number)},
                )
            except httpx.HTTPError as exc:
                self.failures.append(f'{request.number}: {exc!r}')
                return
        self._check(str(request.number), answer)

    def _check(self, number: str, answer: httpx.Response) -> None:
        if answer.is_error:
            self.failures.append(
                f'{number}: {answer.status_code} {answer.text}'
            )
            return
        body = answer.json()
        received = body['number']
        if received == number:
            self.answered += 1
            self.targets.add(body['target'])
        else:
            self.failures.append(f'{number}: got the response to {received}')


@attrs.frozen(kw_only=True)
class _Request:
    """One request of a round, with its number."""

    number: int
    method: str
    path: str
