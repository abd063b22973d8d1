"""Large bodies on the streams with one process of another daemon."""

from collections.abc import Callable

from goldcrestwharf.proxy._body_messages import (
    BodyAhead,
    BodyGrant,
    BodyMessage,
    BodyPiece,
)
from goldcrestwharf.proxy._incoming_bodies import IncomingBodies
from goldcrestwharf.proxy._outgoing_bodies import OutgoingBodies
from goldcrestwharf.proxy._stream import MessageStream
from goldcrestwharf.proxy._transfers import Transfers


class StreamBodies:
    """Bodies in both directions."""

    def __init__(
        self,
        *,
        transfers: Transfers,
        find_stream: Callable[[], MessageStream | None],
        counts_sent: bool = False,
    ) -> None:
        """Use the stream that ``find_stream`` returns.

        ``counts_sent`` is set if bodies take memory of the budget while they
        are sent.
        """
        self.transfers = transfers
        self._find_stream = find_stream
        self.incoming = IncomingBodies(transfers=transfers, send=self._send)
        self.outgoing = OutgoingBodies(
            transfers=transfers,
            find_stream=find_stream,
            counts_memory=counts_sent,
        )

    def receive(self, message: BodyMessage) -> None:
        """Handle a message about a body."""
        if isinstance(message, BodyPiece):
            self.incoming.receive(message)
        elif isinstance(message, BodyGrant):
            self.outgoing.apply(message)
        elif isinstance(message, BodyAhead):
            self.incoming.announce(message)

    def stop(self, number: int) -> None:
        """Stop the bodies of an attempt."""
        self.incoming.stop(number)
        self.outgoing.stop(number)

    def _send(self, message: object) -> None:
        stream = self._find_stream()
        if stream is not None:
            stream.send(message)
