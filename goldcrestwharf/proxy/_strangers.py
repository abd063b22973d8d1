"""Streams whose other end has not introduced itself."""

from goldcrestwharf.proxy._stream import MessageStream

#: Most of these streams. Others beyond them take the place of the oldest.
_MAX_STRANGERS = 128


class Strangers:
    """Bounded set of streams whose other end is not known yet."""

    def __init__(self) -> None:
        """Begin without streams."""
        self._streams: dict[MessageStream, None] = {}

    def add(self, stream: MessageStream) -> None:
        """Add a new stream; the oldest one may be closed for it."""
        self._streams[stream] = None
        if len(self._streams) > _MAX_STRANGERS:
            oldest = next(iter(self._streams))
            self.discard(oldest)
            oldest.close()

    def introduce(self, stream: MessageStream) -> None:
        """Let a stream receive all messages; it is known now."""
        self.discard(stream)
        stream.decoder.introduce()

    def discard(self, stream: MessageStream) -> None:
        """Forget a stream."""
        self._streams.pop(stream, None)
