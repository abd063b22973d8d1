"""Authenticate both ends of a stream with the cluster key.

Each end sends a :class:`Hello` with a fresh nonce, then a :class:`Proof`:
an HMAC-SHA256 under the cluster key over its side and both hellos. No
other message is read before the peer's proof has been verified.
"""

import hashlib
import hmac
from typing import TypeVar

import anyio
import attrs
from anyio.abc import ByteStream

from goldcrestwharf.errors import HandshakeError, WireFormatError
from goldcrestwharf.peers._hello import (
    Credentials,
    Hello,
    Identity,
    Proof,
    check_hello,
    make_hello,
)
from goldcrestwharf.wire import (
    Frame,
    FrameKind,
    FrameReader,
    decode,
    encode,
    pack_frame,
)

_BodyT = TypeVar('_BodyT')

CLIENT = b'client'
SERVER = b'server'


@attrs.frozen(kw_only=True)
class Handshake:
    """One side, ``CLIENT`` or ``SERVER``, of a handshake."""

    stream: ByteStream
    reader: FrameReader
    credentials: Credentials
    side: bytes

    async def run(self) -> Identity:
        """Return the authenticated identity of the other end.

        Raises :class:`HandshakeError` if the peer is of another cluster or
        its proof is wrong and :class:`WireFormatError` if it doesn't speak
        the protocol.
        """
        local = encode(make_hello(self.credentials))
        await self._write(local)
        remote = await self._read()
        hello = _decode_as(Hello, remote)
        check_hello(hello, self.credentials)
        await self._send_proof(local, remote)
        await self._check_proof(remote, local)
        return hello.identity

    async def _send_proof(self, local: bytes, remote: bytes) -> None:
        mac = self._sign(self.side, local, remote)
        await self._write(encode(Proof(mac=mac)))

    async def _check_proof(self, remote: bytes, local: bytes) -> None:
        proof = _decode_as(Proof, await self._read())
        expected = self._sign(_other_side(self.side), remote, local)
        if not hmac.compare_digest(proof.mac, expected):
            raise HandshakeError(
                reason='the peer does not hold the cluster key',
                remedy='give both daemons the same "cluster_key" setting',
            )

    def _sign(self, *parts: bytes) -> bytes:
        lengths = b','.join(b'%d' % len(part) for part in parts)
        signed = lengths + b''.join(parts)
        return hmac.new(self.credentials.key, signed, hashlib.sha256).digest()

    async def _write(self, payload: bytes) -> None:
        frame = Frame(kind=FrameKind.SEND, payload=payload)
        await self.stream.send(pack_frame(frame))

    async def _read(self) -> bytes:
        try:
            frame = await self.reader.read()
        except (anyio.EndOfStream, anyio.IncompleteRead) as exc:
            raise HandshakeError(
                reason='the peer closed the stream during the handshake',
                remedy='look at the log of the other daemon',
            ) from exc
        return frame.payload


def _decode_as(expected: type[_BodyT], payload: bytes) -> _BodyT:
    body = decode(payload)
    if isinstance(body, expected):
        return body
    raise WireFormatError(
        reason=f'expected {expected.__name__} in the handshake',
        remedy='check that the port is the peer port of a daemon',
    )


def _other_side(side: bytes) -> bytes:
    return SERVER if side == CLIENT else CLIENT
