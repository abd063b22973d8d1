"""Report to the witnesses which version this daemon runs."""

import anyio

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._joiner import find_witnesses
from goldcrestwharf.membership._model import Member

_MS_PER_S = 1000


class VersionReporter:
    """Task that pings each witness after a version change until it answers."""

    def __init__(self, *, core: Core) -> None:
        """Report the version of ``core``."""
        self._core = core
        self._changed = anyio.Event()
        self._confirmed: dict[str, str] = {}

    def set_running(self, version: str) -> None:
        """Record that this daemon runs ``version`` from now on."""
        membership = self._core.membership
        membership.running = version
        membership.state.witness.record_running(membership.local.vm, version)
        self._changed.set()

    async def run(self) -> None:
        """Report to the witnesses until cancelled."""
        period = self._core.cfg.period_ms / _MS_PER_S
        while True:
            with self._core.timers.limit(period):
                await self._changed.wait()
            self._changed = anyio.Event()
            await self._report_to_witnesses()

    async def _report_to_witnesses(self) -> None:
        version = self._core.membership.running
        async with anyio.create_task_group() as tg:
            for member in find_witnesses(self._core):
                if version and self._confirmed.get(member.vm) != version:
                    tg.start_soon(self._report_to, member, version)

    async def _report_to(self, member: Member, version: str) -> None:
        core = self._core
        timeout = core.cfg.ack_timeout_ms / _MS_PER_S
        with core.acks.expect() as sequence:
            await core.messenger.ping(sequence, member.vm, member.address)
            if await core.acks.wait(sequence, timeout):
                self._confirmed[member.vm] = version
