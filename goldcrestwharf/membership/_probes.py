"""Define the messages that are sent in datagrams."""

import attrs

from goldcrestwharf.wire import message


@message('membership.ping')
@attrs.frozen(kw_only=True)
class Ping:
    """Direct probe that asks ``target``, a VM, for an :class:`Ack`.

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
    """Answer to the ping or ping request with the same ``sequence``."""

    cluster: str
    sequence: int
    sender: str
    running: str
    gossip: tuple[bytes, ...] = ()


@message('membership.ping_request')
@attrs.frozen(kw_only=True)
class PingRequest:
    """Request for an indirect probe of ``target`` at ``address``."""

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
    """Changes alone, without a request for an ack."""

    cluster: str
    sender: str
    running: str
    gossip: tuple[bytes, ...] = ()
