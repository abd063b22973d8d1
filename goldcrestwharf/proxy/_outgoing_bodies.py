"""Large bodies that are sent to one process of another daemon."""

from collections.abc import Callable

import attrs

from goldcrestwharf.proxy import _metrics
from goldcrestwharf.proxy._body_messages import (
    BodyAhead,
    BodyGrant,
    BodyPiece,
)
from goldcrestwharf.proxy._run_messages import Answered, Run
from goldcrestwharf.proxy._stream import MessageStream
from goldcrestwharf.proxy._transfers import Transfers
from goldcrestwharf.transfers import (
    MAX_WHOLE_BYTES,
    OutgoingTransfer,
    TransferRank,
)

_MS_PER_S = 1000


@attrs.define(kw_only=True, eq=False)
class _OutgoingBody:
    """Body that is sent over one stream."""

    number: int
    body: bytes
    stream: MessageStream
    finish: Callable[[int], None]

    def send(self, start: int, end: int) -> None:
        """Send one piece; the last one finishes the body.

        A body whose stream has ended stays incomplete.
        """
        _metrics.add_in_transit(_metrics.OUTGOING, start - end)
        if not self.stream.is_open:
            return
        chunk = self.body[start:end]
        self.stream.send(
            BodyPiece(number=self.number, offset=start, chunk=chunk)
        )
        if end == len(self.body):
            self.finish(self.number)


class OutgoingBodies:
    """Bodies that are sent, by the number of their attempt.

    A body uses one stream: if that breaks, the rest is never sent.
    ``is_supported`` says whether the other daemon takes pieces.
    """

    def __init__(
        self,
        *,
        transfers: Transfers,
        find_stream: Callable[[], MessageStream | None],
        counts_memory: bool,
    ) -> None:
        """Send over the stream that ``find_stream`` returns.

        ``counts_memory`` is set if the bodies take memory of the budget only
        while they are sent.
        """
        self.is_supported = False
        self._transfers = transfers
        self._find_stream = find_stream
        self._counts_memory = counts_memory
        self._pending: dict[int, OutgoingTransfer] = {}

    def wants_pieces(self, body: bytes) -> bool:
        """Return whether a body has to be sent in pieces."""
        is_large = len(body) > MAX_WHOLE_BYTES
        return is_large and self.is_supported and self._transfers.is_enabled

    def send(self, message: Run | Answered, rank: TransferRank) -> None:
        """Send a message and, as the other daemon grants, its body."""
        stream = self._find_stream()
        if stream is None or not stream.is_open:
            return
        if message.number in self._pending:
            # The inquiry for an answer that is on its way.
            return
        size = len(message.body)
        send_s = self._transfers.queue.find_time(size, rank)
        stream.send(
            BodyAhead(
                number=message.number,
                size=size,
                send_ms=round(send_s * _MS_PER_S),
            )
        )
        stream.send(attrs.evolve(message, body=b''))
        self._add(message, rank, stream)

    def apply(self, grant: BodyGrant) -> None:
        """Send what is granted; grants of ended bodies are ignored."""
        transfer = self._pending.get(grant.number)
        if transfer is not None:
            transfer.granted = min(grant.offset, transfer.size)
            self._transfers.send()

    def stop(self, number: int) -> bool:
        """Stop a body; return whether it was incomplete."""
        transfer = self._pending.get(number)
        if transfer is None:
            return False
        self._finish(number)
        self._transfers.queue.remove(transfer)
        _metrics.add_in_transit(
            _metrics.OUTGOING, transfer.sent - transfer.size
        )
        _metrics.count_transfer(_metrics.OUTGOING, 'stopped')
        return True

    def break_off(self) -> list[int]:
        """Stop all bodies after their stream ended; return their numbers."""
        return [number for number in tuple(self._pending) if self.stop(number)]

    def _add(
        self, message: Run | Answered, rank: TransferRank, stream: MessageStream
    ) -> None:
        outgoing = _OutgoingBody(
            number=message.number,
            body=message.body,
            stream=stream,
            finish=self._complete,
        )
        transfer = OutgoingTransfer(
            size=len(message.body),
            rank=rank,
            channel=stream,
            send=outgoing.send,
        )
        self._pending[message.number] = transfer
        self._transfers.queue.add(transfer)
        _metrics.add_in_transit(_metrics.OUTGOING, transfer.size)
        if self._counts_memory:
            self._transfers.budget.add(transfer.size)

    def _complete(self, number: int) -> None:
        _metrics.count_transfer(_metrics.OUTGOING, 'completed')
        self._finish(number)

    def _finish(self, number: int) -> None:
        transfer = self._pending.pop(number)
        if self._counts_memory:
            self._transfers.budget.release(transfer.size)
