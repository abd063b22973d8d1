"""Find daemons that a new daemon can join through."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from goldcrestwharf.errors import (
    PlatformUnavailableError,
    UnsupportedMessageError,
    WireFormatError,
)
from goldcrestwharf.log import Log, LogRecord
from goldcrestwharf.wire import decode, encode, message

BEACON_STREAM = 'beacons'

#: Beacons that are read, from the end of the stream.
_MAX_BEACONS = 64


@message('membership.beacon')
@attrs.frozen(kw_only=True)
class Beacon:
    """Stored announcement of the ``host:port`` of a running daemon."""

    cluster: str
    vm: str
    zone: str
    address: str


class SeedSource(Protocol):
    """Source of addresses of daemons that may be running."""

    async def find_seeds(self) -> Sequence[str]:
        """Return ``host:port`` addresses; none if nothing is known now."""


class StaticSeeds:
    """Seed addresses from the settings."""

    def __init__(self, *, addresses: Sequence[str]) -> None:
        """Return ``addresses``, each ``host:port``, as seeds."""
        self._addresses = tuple(addresses)

    async def find_seeds(self) -> Sequence[str]:
        """Return the addresses of the settings."""
        return self._addresses


class BeaconSeeds:
    """Seed addresses from the latest beacons in the platform's log."""

    def __init__(self, *, log: Log, cluster: str) -> None:
        """Read the beacons of ``cluster``."""
        self._log = log
        self._cluster = cluster

    async def find_seeds(self) -> Sequence[str]:
        """Return the addresses, the latest first; none in an outage."""
        try:
            records = await self._read_latest()
        except PlatformUnavailableError:
            return ()
        beacons = [_parse(record) for record in reversed(records)]
        found = (one.address for one in beacons if self._is_usable(one))
        return tuple(dict.fromkeys(found))

    async def _read_latest(self) -> Sequence[LogRecord]:
        first = await self._log.read(BEACON_STREAM, offset=0, limit=1, wait=0)
        page = await self._log.read(
            BEACON_STREAM,
            offset=max(first.end_offset - _MAX_BEACONS, 0),
            limit=_MAX_BEACONS,
            wait=0,
        )
        return page.records

    def _is_usable(self, beacon: Beacon) -> bool:
        return bool(beacon.address) and beacon.cluster == self._cluster


class CombinedSeeds:
    """Seed addresses of several sources together."""

    def __init__(self, *, sources: Sequence[SeedSource]) -> None:
        """Query ``sources`` in their order."""
        self._sources = tuple(sources)

    async def find_seeds(self) -> Sequence[str]:
        """Return the addresses of all sources, without repetitions."""
        found: list[str] = []
        for source in self._sources:
            found.extend(await source.find_seeds())
        return tuple(dict.fromkeys(found))


def make_beacon_record(beacon: Beacon) -> bytes:
    """Return the body of the record that announces ``beacon``."""
    return encode(beacon)


def _parse(record: LogRecord) -> Beacon:
    try:
        beacon = decode(record.body)
    except (WireFormatError, UnsupportedMessageError):
        beacon = None
    if isinstance(beacon, Beacon):
        return beacon
    return Beacon(cluster='', vm='', zone='', address='')
