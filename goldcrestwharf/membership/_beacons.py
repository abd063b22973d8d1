"""Announce addresses for newcomers in the platform's log."""

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
_DUTY = 'beacon'

_log = logging.getLogger(__name__)


class Beacons:
    """Append a beacon now and then while this daemon holds the duty."""

    def __init__(self, *, core: Core, log: Log, cluster: str) -> None:
        """Append to ``log`` for newcomers of ``cluster``."""
        self._core = core
        self._platform = log
        self._cluster = cluster

    async def run(self) -> None:
        """Append until cancelled; an outage of the log is waited out.

        The first wait is short, so that the second daemon of a new mesh
        finds the first one.
        """
        longest = self._core.cfg.join_backoff_ms / _MS_PER_S
        while True:
            wait = self._core.rng.uniform(longest / 2, longest)
            await self._core.timers.sleep(wait)
            own = self._core.membership.own
            if self._core.duties.is_holder(_DUTY, own.zone, 1):
                await self._append()
            longest = self._core.cfg.beacon_ms / _MS_PER_S

    async def _append(self) -> None:
        own = self._core.membership.own
        beacon = Beacon(
            cluster=self._cluster,
            vm=own.vm,
            zone=own.zone,
            address=own.address,
        )
        record = make_beacon_record(beacon)
        try:
            await self._platform.append(BEACON_STREAM, [record])
        except PlatformUnavailableError as exc:
            _log.info('beacon.not_appended reason=%s', exc)
