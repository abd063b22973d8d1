"""Send accepted changes to subscribers that relay them."""

import anyio
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from goldcrestwharf.replay._decisions import AppliedChange

#: A subscriber that is this many changes behind is disconnected.
MAX_BACKLOG = 256


class ChangeFeed:
    """A broadcast of changes that never waits for a subscriber."""

    def __init__(self) -> None:
        """Start without subscribers."""
        self._streams: list[MemoryObjectSendStream[AppliedChange]] = []

    def subscribe(self) -> MemoryObjectReceiveStream[AppliedChange]:
        """Return a stream of the changes from now on.

        It ends if the subscriber falls too far behind; the subscriber then
        has to catch up from the current snapshot.
        """
        sending, receiving = anyio.create_memory_object_stream[AppliedChange](
            max_buffer_size=MAX_BACKLOG,
        )
        self._streams.append(sending)
        return receiving

    def send(self, change: AppliedChange) -> None:
        """Send ``change`` to all subscribers that keep up."""
        self._streams = [
            stream for stream in self._streams if _try_send(stream, change)
        ]


def _try_send(
    stream: MemoryObjectSendStream[AppliedChange],
    change: AppliedChange,
) -> bool:
    try:
        stream.send_nowait(change)
    except (anyio.WouldBlock, anyio.BrokenResourceError):
        stream.close()
        return False
    return True
