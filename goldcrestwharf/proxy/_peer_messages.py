"""Define the messages by which daemons know of each other."""

from collections.abc import Iterator

import attrs

from goldcrestwharf.discovery import DaemonRecord, ToldRecord
from goldcrestwharf.proxy._codec import message

#: Numbers on the wire.
_HELLO = 1
_PING = 2
_PONG = 3
_TARGET_STATE = 4
_ASK_KNOWN = 13
_KNOWN = 14


@message(_HELLO)
@attrs.define(kw_only=True)
class Hello:
    """Introduce a daemon; both ends of a stream send one first.

    ``process`` is new at each start, ``version`` is that of the sender's
    configuration, and ``digest`` that of the daemons that it knows.
    ``link_rate`` is in bytes a second, zero if it is not known, and
    ``wanted`` names the daemon that was dialed, if it is known.
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

    def record(self) -> DaemonRecord:
        """Return the sender's record."""
        return DaemonRecord(
            name=self.name,
            address=self.address,
            zone=self.zone,
        )


@message(_ASK_KNOWN)
@attrs.define(kw_only=True)
class AskKnown:
    """Ask for the daemons that are known, if their digest is another one."""

    digest: bytes


@message(_KNOWN)
@attrs.define(kw_only=True)
class Known:
    """List daemons: name, address, zone, seconds since each was heard."""

    daemons: list[tuple[str, str, str, int]]

    def records(self) -> Iterator[ToldRecord]:
        """Yield what is said of each daemon."""
        for name, address, zone, age in self.daemons:
            yield ToldRecord(
                record=DaemonRecord(name=name, address=address, zone=zone),
                age=age,
            )


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
    reads_store: bool = False


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
