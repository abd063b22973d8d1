"""Authenticate datagrams between the daemons of a cluster.

A datagram is the first 16 bytes of an HMAC-SHA256 under the cluster key,
then an encoded message that names the cluster. The size and the HMAC are
checked before the message is decoded.
"""

import hashlib
import hmac
import logging
from collections import Counter

import attrs
from opentelemetry import metrics

from goldcrestwharf.errors import (
    GoldcrestwharfError,
    UnsupportedMessageError,
    WireFormatError,
)
from goldcrestwharf.membership._probes import Ack, Ping, PingRequest, Spread
from goldcrestwharf.wire import decode, encode

_log = logging.getLogger(__name__)
_dropped = metrics.get_meter('goldcrestwharf.membership').create_counter(
    'goldcrestwharf.membership.datagrams_dropped',
    description='datagrams that were not read, by reason',
)

MAC_BYTES = 16

#: Separates these signatures from those of the stream handshake, which
#: uses the same key.
_MAC_CONTEXT = b'goldcrestwharf datagram 1|'

#: The messages that are sent in datagrams.
ProbeMessage = Ping | Ack | PingRequest | Spread


@attrs.define(kw_only=True)
class DatagramError(GoldcrestwharfError):
    """Rejected datagram; ``kind`` is the label that it is counted under."""

    kind: str


@attrs.frozen(kw_only=True)
class DatagramCodec:
    """Encoder and verifier of datagrams of at most ``max_bytes``."""

    cluster: str
    key: bytes = attrs.field(repr=False)
    max_bytes: int

    def pack(self, body: ProbeMessage) -> bytes:
        """Return the datagram that carries ``body``."""
        packed = encode(body)
        return self._sign(packed) + packed

    def unpack(self, packed: bytes) -> ProbeMessage:
        """Return the message in a datagram.

        Raises :class:`DatagramError` if it is oversized, unauthenticated,
        malformed or of another cluster.
        """
        if len(packed) > self.max_bytes:
            raise _make_error(
                'oversized', 'compare the "datagram_bytes" settings'
            )
        mac, body = packed[:MAC_BYTES], packed[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._sign(body)):
            raise _make_error(
                'unauthenticated', 'compare the "cluster_key" settings'
            )
        probe = _decode_probe(body)
        if probe.cluster != self.cluster:
            raise _make_error(
                'foreign', 'compare the "cluster" settings and seeds'
            )
        return probe

    def _sign(self, packed: bytes) -> bytes:
        signature = hmac.digest(self.key, _MAC_CONTEXT + packed, hashlib.sha256)
        return signature[:MAC_BYTES]


class DropCounts:
    """Numbers of dropped datagrams, by reason."""

    def __init__(self) -> None:
        """Start at zero."""
        self.by_reason: Counter[str] = Counter()

    def record(self, kind: str, address: str) -> None:
        """Count and log one datagram; the first of each kind as a warning."""
        level = logging.DEBUG if self.by_reason[kind] else logging.WARNING
        self.by_reason[kind] += 1
        _dropped.add(1, {'reason': kind})
        _log.log(level, 'datagram.dropped reason=%s from=%s', kind, address)


def _decode_probe(packed: bytes) -> ProbeMessage:
    try:
        probe = decode(packed)
    except (WireFormatError, UnsupportedMessageError) as exc:
        raise _make_error('malformed', 'compare the releases') from exc
    if isinstance(probe, ProbeMessage):
        return probe
    raise _make_error('malformed', 'compare the releases')


def _make_error(kind: str, remedy: str) -> DatagramError:
    return DatagramError(
        kind=kind,
        reason=f'{kind} datagram',
        remedy=f'{remedy} of both daemons',
    )
