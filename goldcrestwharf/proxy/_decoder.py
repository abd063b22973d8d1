"""Decoder of the messages that are received on a stream."""

from collections.abc import Iterator
from typing import Any, Final

import msgpack

from goldcrestwharf.proxy._codec import unpack

#: Maximum size of a buffered message: a configuration of the largest record of
#: the store, with some margin.
_MAX_MESSAGE_BYTES = 16_777_216

#: Most elements of an array, of which a few bytes can announce any number.
_MAX_ELEMENTS = 100_000

#: Most bytes of a message before the other end has introduced itself, and most
#: elements of its arrays. Anybody may connect, and each byte may become an
#: object of fifty times its size.
_MAX_HELLO_BYTES = 2048
_MAX_HELLO_ELEMENTS = 64

#: Initial size of a stream's buffer, larger than most messages. The default of
#: the library is a megabyte, all of which gets used as messages pass.
_INITIAL_BUFFER_BYTES = 16_384

_NOTHING: Final = object()


class MessageDecoder:
    """Decoder of a stream of messages.

    Until ``is_introduced`` is set, only small messages are received.
    """

    def __init__(self, *, is_introduced: bool) -> None:
        """Begin at the first message."""
        self.is_introduced = is_introduced
        self._incomplete_bytes = 0
        self._unpacker = _make_unpacker(
            _MAX_ELEMENTS if is_introduced else _MAX_HELLO_ELEMENTS
        )

    def introduce(self) -> None:
        """Receive messages of all sizes from now on."""
        if not self.is_introduced:
            self.is_introduced = True
            received = self._unpacker.read_bytes(_INITIAL_BUFFER_BYTES)
            self._unpacker = _make_unpacker(_MAX_ELEMENTS)
            self._unpacker.feed(received)

    def decode(self, chunk: bytes) -> Iterator[object]:
        """Yield the messages that ``chunk`` completes, except unknown ones.

        Raises :class:`ValueError`, :class:`TypeError` or an exception of
        msgpack if they are malformed or too large.
        """
        start = 0
        while not self.is_introduced and start < len(chunk):
            end = start + _MAX_HELLO_BYTES
            yield from self._decode_hello(chunk[start:end])
            start = end
        yield from self._decode(chunk[start:])

    def _decode_hello(self, piece: bytes) -> Iterator[object]:
        """Decode bytes of an end that may not have introduced itself."""
        self._incomplete_bytes += len(piece)
        yield from self._decode(piece)
        is_too_large = self._incomplete_bytes > _MAX_HELLO_BYTES
        if is_too_large and not self.is_introduced:
            raise ValueError('a message before the introduction is too large')

    def _decode(self, chunk: bytes) -> Iterator[object]:
        self._unpacker.feed(chunk)
        parts = self._take()
        while parts is not _NOTHING:
            self._incomplete_bytes = 0
            message = unpack(parts)
            if message is not None:
                yield message
            parts = self._take()

    def _take(self) -> Any:
        """Return the next object; another unpacker may have it by now."""
        try:
            return self._unpacker.unpack()
        except msgpack.OutOfData:
            return _NOTHING


def _make_unpacker(max_elements: int) -> msgpack.Unpacker:
    return msgpack.Unpacker(
        read_size=_INITIAL_BUFFER_BYTES,
        max_buffer_size=_MAX_MESSAGE_BYTES,
        max_array_len=max_elements,
    )
