"""Publish the addresses of running daemons in the platform's log."""

import logging

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.log import Log
from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._seeds import (
    BEACON_STREAM,
    Beacon,
    make_beacon_record,
)

_MS_PER_S = 1000
_ROLE = 'beacon'

_log = logging.getLogger(__name__)


class Beacons:
    """Periodic task that appends a beacon while this daemon has the role."""

    def __init__(self, *, core: Core, log: Log, cluster: str) -> None:
        """Append to ``log`` for daemons that will join ``cluster``."""
        self._core = core
        self._platform = log
        self._cluster = cluster

    async def run(self) -> None:
        """Append until cancelled; skip a beacon while the log is down.

        The first wait is short, so that the second daemon of a new mesh
        finds the first one.
        """
        longest = self._core.cfg.join_backoff_ms / _MS_PER_S
        while True:
            wait = self._core.rng.uniform(longest / 2, longest)
            await self._core.timers.sleep(wait)
            local = self._core.membership.local
            if self._core.roles.is_holder(_ROLE, local.zone, 1):
                await self._append()
            longest = self._core.cfg.beacon_ms / _MS_PER_S

    async def _append(self) -> None:
        local = self._core.membership.local
        beacon = Beacon(
            cluster=self._cluster,
            vm=local.vm,
            zone=local.zone,
            address=local.address,
        )
        record = make_beacon_record(beacon)
        try:
            await self._platform.append(BEACON_STREAM, [record])
        except PlatformUnavailableError as exc:
            _log.info('beacon.not_appended reason=%s', exc)
