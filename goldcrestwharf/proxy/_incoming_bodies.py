"""Large bodies that one process of another daemon sends."""

from collections.abc import Callable
from functools import partial

import attrs

from goldcrestwharf.proxy import _metrics
from goldcrestwharf.proxy._body_messages import (
    BodyAhead,
    BodyGrant,
    BodyPiece,
)
from goldcrestwharf.proxy._transfers import Transfers
from goldcrestwharf.transfers import IncomingTransfer, TransferRank


def _always() -> bool:
    return True


def _ignore() -> None:
    """Leave the memory of the body to the caller."""


@attrs.define(kw_only=True, eq=False)
class BodyReceipt:
    """Body that is received.

    ``finish`` is called with the complete body, or with ``None`` if the
    stream broke before. ``admit`` is asked for memory before the first grant,
    and ``release`` is called at the end in any case.
    """

    number: int
    size: int
    rank: TransferRank
    finish: Callable[[bytes | None], None]
    admit: Callable[[], bool] = _always
    release: Callable[[], None] = _ignore
    chunks: list[bytes] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class _Incoming:
    receipt: BodyReceipt
    transfer: IncomingTransfer


class IncomingBodies:
    """Bodies that are received, by the number of their attempt.

    A body uses one stream: if that breaks, the body never completes.
    """

    def __init__(
        self, *, transfers: Transfers, send: Callable[[object], None]
    ) -> None:
        """Send grants by ``send``."""
        self._transfers = transfers
        self._send = send
        self._announced: dict[int, BodyAhead] = {}
        self._pending: dict[int, _Incoming] = {}

    def announce(self, message: BodyAhead) -> None:
        """Note that the body of the next message comes in pieces."""
        self._announced[message.number] = message

    def take_announced(self, number: int) -> BodyAhead | None:
        """Return the announcement of a message's body, if there is one."""
        return self._announced.pop(number, None)

    def expect(self, receipt: BodyReceipt) -> None:
        """Receive an announced body, in place of an earlier one."""
        self.stop(receipt.number)
        transfer = IncomingTransfer(
            size=receipt.size,
            rank=receipt.rank,
            admit=receipt.admit,
            grant=partial(self._grant, receipt.number),
        )
        self._pending[receipt.number] = _Incoming(
            receipt=receipt, transfer=transfer
        )
        _metrics.add_in_transit(_metrics.INCOMING, receipt.size)
        self._transfers.grants.add(transfer)
        self._transfers.grant()

    def receive(self, piece: BodyPiece) -> None:
        """Add a piece; pieces of ended bodies are ignored.

        Raises :class:`ValueError` for a piece that is out of order.
        """
        incoming = self._pending.get(piece.number)
        if incoming is None:
            return
        transfer = incoming.transfer
        size = len(piece.chunk)
        if piece.offset != transfer.received or not size:
            raise ValueError('a piece of a body is out of order')
        if transfer.received + size > transfer.size:
            raise ValueError('a body is longer than announced')
        incoming.receipt.chunks.append(piece.chunk)
        _metrics.add_in_transit(_metrics.INCOMING, -size)
        self._transfers.grants.record(transfer, size)
        if transfer.received == transfer.size:
            self._complete(incoming.receipt)
        self._transfers.grant()

    def stop(self, number: int) -> bool:
        """Stop a body; return whether it was incomplete."""
        incoming = self._pending.pop(number, None)
        if incoming is None:
            return False
        transfer = incoming.transfer
        self._transfers.grants.remove(transfer)
        incoming.receipt.release()
        _metrics.add_in_transit(
            _metrics.INCOMING, transfer.received - transfer.size
        )
        _metrics.count_transfer(_metrics.INCOMING, 'stopped')
        self._transfers.grant()
        return True

    def break_off(self) -> list[int]:
        """Stop all bodies after their stream ended; return their numbers."""
        self._announced.clear()
        broken = tuple(self._pending.values())
        for incoming in broken:
            self.stop(incoming.receipt.number)
            incoming.receipt.finish(None)
        return [incoming.receipt.number for incoming in broken]

    def _complete(self, receipt: BodyReceipt) -> None:
        self._pending.pop(receipt.number)
        receipt.release()
        _metrics.count_transfer(_metrics.INCOMING, 'completed')
        receipt.finish(b''.join(receipt.chunks))

    def _grant(self, number: int, offset: int) -> None:
        self._send(BodyGrant(number=number, offset=offset))
