"""Count the memory that one connection of a caller holds."""

from collections.abc import Callable
from typing import Any

from goldcrestwharf.http1._messages import Request
from goldcrestwharf.transfers import CallerMemory, CallerShare

#: Memory of a connection that holds nothing else, in bytes.
_CONN_BYTES = 6144

#: Copies of a body while its request is in progress, beside its own: one is in
#: the message to the target, and one may be in the buffer of that connection.
_BODY_COPIES = 2


class ConnMemory:
    """Memory of one connection: what it received, and what it has to send.

    ``transport`` is set once there is one, and ``is_busy`` while a request is
    in progress.
    """

    def __init__(
        self,
        *,
        memory: CallerMemory,
        resume: Callable[[], None],
        give_up: Callable[[], None],
    ) -> None:
        """Hold a share of ``memory`` with these callbacks."""
        self.transport: Any = None
        self.is_busy = False
        self._memory = memory
        self._share = CallerShare(resume=resume, give_up=give_up)
        self._in_progress = 0
        memory.renew(self._share)

    def admit(self, received: int) -> bool:
        """Return whether ``received`` bytes may be held."""
        return self._memory.admit(self._share, received + self._find_fixed())

    def hold(self, received: int) -> None:
        """Record that ``received`` bytes are held."""
        self._memory.hold(self._share, received + self._find_fixed())

    def begin(self, req: Request) -> None:
        """Record that a request begins."""
        self.is_busy = True
        self._in_progress = req.held + len(req.body) * _BODY_COPIES

    def finish(self, received: int) -> None:
        """Record that its answer was written; others may have to give way."""
        self.is_busy = False
        self._in_progress = 0
        self._memory.renew(self._share)
        self.hold(received)
        if self._memory.find_free() < 0:
            self._memory.relieve()

    def has_unsent(self) -> bool:
        """Return whether an answer, or a part of it, wait to be read."""
        return bool(self.transport.get_write_buffer_size())

    def release(self) -> None:
        """Release all memory."""
        self._memory.release(self._share)

    def _find_fixed(self) -> int:
        """Return the bytes that are held beside those that are received."""
        unsent: int = self.transport.get_write_buffer_size()
        return _CONN_BYTES + self._in_progress + unsent
