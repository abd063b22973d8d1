"""Define the messages of the handshake."""

import secrets

import attrs

from goldcrestwharf.errors import HandshakeError
from goldcrestwharf.wire import message

PROTOCOL = 1
_NONCE_BYTES = 16


@attrs.frozen(kw_only=True)
class Identity:
    """VM, availability zone and peer address of a daemon.

    ``address`` is ``host:port`` with an IP number.
    """

    vm: str
    zone: str
    address: str


@message('peers.hello')
@attrs.frozen(kw_only=True)
class Hello:
    """First message on a stream, with the identity of the sender."""

    protocol: int
    cluster: str
    identity: Identity
    nonce: bytes


@message('peers.proof')
@attrs.frozen(kw_only=True)
class Proof:
    """Proof that the sender knows the cluster key."""

    mac: bytes


@attrs.frozen(kw_only=True)
class Credentials:
    """Identity of a daemon and the key that it authenticates with."""

    cluster: str
    key: bytes = attrs.field(repr=False)
    identity: Identity


def make_hello(credentials: Credentials) -> Hello:
    """Return a hello with the identity in ``credentials`` and a new nonce."""
    return Hello(
        protocol=PROTOCOL,
        cluster=credentials.cluster,
        identity=credentials.identity,
        nonce=secrets.token_bytes(_NONCE_BYTES),
    )


def check_hello(hello: Hello, credentials: Credentials) -> None:
    """Raise :class:`HandshakeError` unless the peer fits this cluster."""
    if hello.protocol != PROTOCOL:
        raise HandshakeError(
            reason=f'the peer speaks protocol {hello.protocol}',
            remedy=f'upgrade the peer to a release with {PROTOCOL}',
        )
    if hello.cluster != credentials.cluster:
        raise HandshakeError(
            reason=f'the peer belongs to cluster {hello.cluster!r}',
            remedy='correct the seed addresses in the settings',
        )
    if len(hello.nonce) != _NONCE_BYTES:
        raise HandshakeError(
            reason='the peer sent a nonce of the wrong size',
            remedy='upgrade the peer',
        )
