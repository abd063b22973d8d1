"""Define the messages by which daemons know of each other."""

from collections.abc import Iterator

import attrs

from goldcrestwharf.discovery import DaemonRecord
from goldcrestwharf.proxy._codec import message

#: Numbers on the wire.
_HELLO = 1
_PING = 2
_PONG = 3
_TARGET_STATE = 4


@message(_HELLO)
@attrs.define(kw_only=True)
class Hello:
    """Introduce a daemon; both ends of a stream send one first.

    ``process`` is new at each start. ``known`` lists the daemons that the
    sender knows, and ``version`` is that of its configuration.
    """

    name: str
    process: str
    address: str
    zone: str
    version: int
    known: list[tuple[str, str, str]]

    def record(self) -> DaemonRecord:
        """Return the sender's record."""
        return DaemonRecord(
            name=self.name,
            address=self.address,
            zone=self.zone,
        )

    def others(self) -> Iterator[DaemonRecord]:
        """Yield the records of the daemons that the sender knows."""
        for name, address, zone in self.known:
            yield DaemonRecord(name=name, address=address, zone=zone)


@message(_PING)
@attrs.define(kw_only=True)
class Ping:
    """Ask for a sign of life."""

    number: int


@message(_PONG)
@attrs.define(kw_only=True)
class Pong:
    """Answer a ping with the load of the target and the version in force."""

    number: int
    version: int
    report: list[int]


@message(_TARGET_STATE)
@attrs.define(kw_only=True)
class TargetState:
    """Tell of the target beside a daemon; no ``instance_id`` means none.

    ``cold_ms`` is how much longer the target is slow.
    """

    service: str
    instance_id: str
    is_draining: bool
    cold_ms: int
    report: list[int]
