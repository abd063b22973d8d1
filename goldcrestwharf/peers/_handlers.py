"""Register the handlers of messages from peers."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from goldcrestwharf.peers._conn import PeerConn

#: Returns the answer, which may be ``None`` only for a one-way message.
Handler = Callable[[Any, 'PeerConn'], Awaitable[object]]


class Handlers:
    """Map from the type of a message to its handler."""

    def __init__(self) -> None:
        """Start without any handler."""
        self._by_type: dict[type, Handler] = {}

    def on(self, message_type: type) -> Callable[[Handler], Handler]:
        """Register the decorated function for ``message_type``."""

        def decorator(handler: Handler) -> Handler:
            if message_type in self._by_type:
                raise ValueError(f'{message_type.__name__} has a handler')
            self._by_type[message_type] = handler
            return handler

        return decorator

    def find(self, message_type: type) -> Handler | None:
        """Return the handler of ``message_type``, if there is one."""
        return self._by_type.get(message_type)
