"""Messages by which daemons learn of each other and of their targets."""

from collections.abc import Iterator
from contextlib import suppress

import attrs

from goldcrestwharf.discovery import DaemonRecord, ReportedRecord, TargetProcess
from goldcrestwharf.proxy._codec import message
from goldcrestwharf.proxy._features import PeerFeature

#: Message numbers; they must not change.
_HELLO = 1
_PING = 2
_PONG = 3
_TARGET_STATE = 4
_KNOWN_PEERS_REQUEST = 13
_KNOWN_PEERS = 14
_TARGET_HINT = 17


@message(_HELLO)
@attrs.define(kw_only=True)
class Hello:
    """Introduction of a daemon; each end of a stream sends one first.

    ``process`` is new at each start, ``version`` is that of the sender's
    configuration, and ``digest`` that of the daemons that it knows.
    ``link_rate`` is in bytes per second, zero if unknown. ``wanted`` names
    the daemon that was dialed, if known. ``store_epoch`` is the highest epoch
    of the store that the sender knows, or zero. ``features`` has the bits of
    :class:`PeerFeature` that the sender supports.
    """

    name: str
    process: str
    address: str
    zone: str
    version: int
    digest: bytes
    link_rate: int = 0
    reads_store: bool = False
    wanted: str = ''
    store_epoch: int = 0
    features: int = 0

    def supports(self, feature: PeerFeature) -> bool:
        """Return whether the sender supports an optional exchange."""
        return bool(self.features & feature)

    def record(self) -> DaemonRecord:
        """Return the record of the sender."""
        return DaemonRecord(
            name=self.name,
            address=self.address,
            zone=self.zone,
        )


@message(_KNOWN_PEERS_REQUEST)
@attrs.define(kw_only=True)
class KnownPeersRequest:
    """Request for the known peers if their digest differs from ``digest``."""

    digest: bytes


@message(_KNOWN_PEERS)
@attrs.define(kw_only=True)
class KnownPeers:
    """Known peers: name, address, zone, seconds since the last contact.

    Those that can't be used are left out.
    """

    daemons: list[tuple[str, str, str, int]]

    def records(self) -> Iterator[ReportedRecord]:
        """Yield the records of the peers."""
        for name, address, zone, age in self.daemons:
            with suppress(ValueError):
                record = DaemonRecord(name=name, address=address, zone=zone)
                yield ReportedRecord(record=record, age=age)


@message(_PING)
@attrs.define(kw_only=True)
class Ping:
    """Liveness probe."""

    number: int


@message(_PONG)
@attrs.define(kw_only=True)
class Pong:
    """Answer to a ping, with the target's load and the active version.

    ``store_epoch`` is as in :class:`Hello`.
    """

    number: int
    version: int
    report: list[int]
    reads_store: bool = False
    store_epoch: int = 0


@message(_TARGET_STATE)
@attrs.define(kw_only=True)
class TargetState:
    """State of the sender's target; an empty ``instance_id`` means none.

    ``is_draining`` is also set while the sender itself stops; ``is_leaving``
    only if the target said that it will stop, which is final for its process.
    ``slow_start_ms`` is the remaining time of its slow start. ``started_ms``
    is its start in Unix milliseconds. ``limit`` is in requests per second,
    ``None`` if it names none. ``version`` is that of its software, empty if
    unknown.
    """

    service: str
    instance_id: str
    is_draining: bool
    slow_start_ms: int
    report: list[int]
    started_ms: int = 0
    limit: float | None = None
    version: str = ''
    is_leaving: bool = False


@message(_TARGET_HINT)
@attrs.define(kw_only=True)
class TargetHint:
    """What a daemon knows of the target beside a daemon that restarted.

    The fields are as in :class:`TargetState`.
    """

    instance_id: str
    started_ms: int
    limit: float | None
    is_leaving: bool

    @property
    def process(self) -> TargetProcess:
        """Return the process of the target."""
        return (self.instance_id, self.started_ms)
