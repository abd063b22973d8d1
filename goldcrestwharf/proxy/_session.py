"""Current stream of a process of another daemon."""

from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._peer_messages import Hello, TargetHint
from goldcrestwharf.proxy._session_runs import (
    RunContext,
    RunMessage,
    SessionRuns,
)
from goldcrestwharf.proxy._stream import MessageStream
from goldcrestwharf.proxy._stream_bodies import StreamBodies


class Session:
    """Current stream of a process, and the attempts that it sent."""

    def __init__(
        self,
        *,
        hello: Hello,
        stream: MessageStream,
        context: RunContext,
    ) -> None:
        self.process = hello.process
        self.zone = hello.zone
        self.stream = stream
        self.rolls_out = False
        self._has_replied = False
        self._local_target = context.local_target
        bodies = StreamBodies(
            transfers=context.transfers,
            find_stream=lambda: self.stream,
            counts_sent=True,
        )
        bodies.outgoing.is_supported = hello.supports(PeerFeature.BODY_PIECES)
        self.runs = SessionRuns(
            process=hello.process,
            context=context,
            send=self._send,
            bodies=bodies,
        )

    def receive(self, message: object) -> None:
        if isinstance(message, RunMessage):
            self.runs.receive(message)
        elif isinstance(message, TargetHint):
            self._local_target.notices.receive_hint(message)

    def count_unsent_replies(self) -> int:
        """Return the bytes up to the last reply that are not received.

        Messages that were sent behind that reply count until then.
        """
        unsent = self.stream.count_unsent() if self._has_replied else 0
        self._has_replied = bool(unsent)
        return unsent

    def _send(self, message: object) -> None:
        self._has_replied = True
        self.stream.send(message)
