"""A client of the daemons of a running mesh."""

import time

import anyio
import attrs
import httpx

from goldcrestwharf.admin import StatusDocument
from goldcrestwharf.demo._errors import DemoError
from goldcrestwharf.demo._plan import DemoPlan
from goldcrestwharf.errors import WireFormatError
from goldcrestwharf.publishing import (
    OutcomeDocument,
    PublishRequest,
    decode_document,
    encode_document,
)

_POLL_INTERVAL_S = 0.005
_WAIT_TIMEOUT_S = 20


@attrs.frozen(kw_only=True)
class Mesh:
    """An HTTP client of the administration APIs of a plan's daemons."""

    plan: DemoPlan
    client: httpx.AsyncClient

    async def publish(self, name: str) -> OutcomeDocument:
        """Publish the set file ``name`` through the first daemon."""
        text = (self.plan.sets_folder / name).read_text(encoding='utf-8')
        request = PublishRequest(text=text, author='demo')
        first = self.plan.local_addresses[0]
        answer = await self._send_request(
            'POST',
            f'http://{first}/v1/publish',
            encode_document(request),
        )
        return decode_document(answer.content, OutcomeDocument)

    async def statuses(self) -> tuple[StatusDocument, ...]:
        """Return the status of each daemon."""
        statuses = [
            await self._status(address) for address in self.plan.local_addresses
        ]
        return tuple(statuses)

    async def wait_for_targets(self, count: int) -> None:
        """Wait until each daemon knows ``count`` targets."""
        with anyio.move_on_after(_WAIT_TIMEOUT_S):
            while True:
                if _all_know_targets(await self.statuses(), count):
                    return
                await anyio.sleep(_POLL_INTERVAL_S)
        raise DemoError(
            reason=f'not every daemon knew {count} targets in time',
            remedy='look at the logs of the daemons and targets',
        )

    async def wait_for_version(self, version: str) -> float:
        """Return the seconds until each daemon runs ``version``."""
        started = time.monotonic()
        with anyio.move_on_after(_WAIT_TIMEOUT_S):
            async with anyio.create_task_group() as tg:
                for address in self.plan.local_addresses:
                    tg.start_soon(self._wait_for_one, address, version)
            return time.monotonic() - started
        raise DemoError(
            reason=f'not every daemon ran version {version} in time',
            remedy='run "goldcrestwharf status --fleet" to list the others',
        )

    async def _wait_for_one(self, address: str, version: str) -> None:
        while True:
            status = await self._status(address)
            if status.daemon.version == version:
                return
            await anyio.sleep(_POLL_INTERVAL_S)

    async def _status(self, address: str) -> StatusDocument:
        answer = await self._send_request(
            'GET', f'http://{address}/v1/status', b''
        )
        try:
            return decode_document(answer.content, StatusDocument)
        except WireFormatError as exc:
            raise DemoError(
                reason=f'{address} gave no status',
                remedy='check the address and the token',
            ) from exc

    async def _send_request(
        self,
        method: str,
        url: str,
        body: bytes,
    ) -> httpx.Response:
        token = self.plan.token
        headers = {'Authorization': f'Bearer {token}'}
        try:
            return await self.client.request(
                method,
                url,
                content=body,
                headers=headers,
            )
        except httpx.HTTPError as exc:
            raise DemoError(
                reason=f'no answer from {url}: {exc}',
                remedy='start the daemons first; make demo starts everything',
            ) from exc


def _all_know_targets(statuses: tuple[StatusDocument, ...], count: int) -> bool:
    known = (sum(zone.targets for zone in status.zones) for status in statuses)
    return all(targets >= count for targets in known)
