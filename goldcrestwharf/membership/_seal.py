"""Prove that a datagram comes from a daemon of the same cluster.

A datagram is the first 16 bytes of an HMAC-SHA256 under the cluster key,
then an encoded message that names the cluster. The size and the HMAC are
checked before anything else is read.
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

#: Kept apart from what the stream handshake signs under the same key.
_PURPOSE = b'goldcrestwharf datagram 1|'

#: What may travel in a datagram.
ProbeMessage = Ping | Ack | PingRequest | Spread


@attrs.define(kw_only=True)
class DatagramError(GoldcrestwharfError):
    """Report a datagram that must not be read; ``kind`` is for counting."""

    kind: str


@attrs.frozen(kw_only=True)
class Seal:
    """Write and check datagrams of at most ``max_bytes``."""

    cluster: str
    key: bytes = attrs.field(repr=False)
    max_bytes: int

    def close(self, body: ProbeMessage) -> bytes:
        """Return the datagram that carries ``body``."""
        packed = encode(body)
        return self._sign(packed) + packed

    def open(self, packed: bytes) -> ProbeMessage:
        """Return the message in a datagram.

        Raises :class:`DatagramError` if it is oversized, unauthenticated,
        malformed or of another cluster.
        """
        if len(packed) > self.max_bytes:
            raise _refuse('oversized', 'give all daemons the same bound')
        mac, body = packed[:MAC_BYTES], packed[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._sign(body)):
            raise _refuse('unauthenticated', 'compare the "cluster_key"s')
        probe = _decode_probe(body)
        if probe.cluster != self.cluster:
            raise _refuse('foreign', 'correct the seed addresses')
        return probe

    def _sign(self, packed: bytes) -> bytes:
        signature = hmac.digest(self.key, _PURPOSE + packed, hashlib.sha256)
        return signature[:MAC_BYTES]


class DropCounts:
    """Count the datagrams that were dropped, by reason."""

    def __init__(self) -> None:
        """Start at zero."""
        self.by_reason: Counter[str] = Counter()

    def note(self, kind: str, address: str) -> None:
        """Count and log one datagram; the first of each kind as a warning."""
        level = logging.DEBUG if self.by_reason[kind] else logging.WARNING
        self.by_reason[kind] += 1
        _dropped.add(1, {'reason': kind})
        _log.log(level, 'datagram.dropped reason=%s from=%s', kind, address)


def _decode_probe(packed: bytes) -> ProbeMessage:
    try:
        probe = decode(packed)
    except (WireFormatError, UnsupportedMessageError) as exc:
        raise _refuse('malformed', 'compare the releases') from exc
    if isinstance(probe, ProbeMessage):
        return probe
    raise _refuse('malformed', 'compare the releases')


def _refuse(kind: str, remedy: str) -> DatagramError:
    return DatagramError(
        kind=kind,
        reason=f'{kind} datagram',
        remedy=f'{remedy} of both daemons',
    )
