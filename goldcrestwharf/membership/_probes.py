"""Define the messages that travel in datagrams."""

import attrs

from goldcrestwharf.wire import message


@message('membership.ping')
@attrs.frozen(kw_only=True)
class Ping:
    """Ask ``target``, a VM, for an :class:`Ack`.

    ``running`` is the configuration version that the sender runs and
    ``gossip`` holds encoded changes.
    """

    cluster: str
    sequence: int
    sender: str
    target: str
    running: str
    gossip: tuple[bytes, ...] = ()


@message('membership.ack')
@attrs.frozen(kw_only=True)
class Ack:
    """Answer the ping or the request with the same ``sequence``."""

    cluster: str
    sequence: int
    sender: str
    running: str
    gossip: tuple[bytes, ...] = ()


@message('membership.ping_request')
@attrs.frozen(kw_only=True)
class PingRequest:
    """Ask for a ping of ``target`` at ``address`` on the sender's behalf."""

    cluster: str
    sequence: int
    sender: str
    target: str
    address: str
    running: str
    gossip: tuple[bytes, ...] = ()


@message('membership.spread')
@attrs.frozen(kw_only=True)
class Spread:
    """Carry changes without asking for an answer."""

    cluster: str
    sender: str
    running: str
    gossip: tuple[bytes, ...] = ()
