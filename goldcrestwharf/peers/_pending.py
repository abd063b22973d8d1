"""Match the peer's answers to the calls that wait for them."""

import itertools

import anyio
import attrs

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError, PeerError
from goldcrestwharf.peers._failures import Failure, make_error
from goldcrestwharf.peers._outgoing_frame import OutgoingFrame
from goldcrestwharf.wire import Frame, decode

_MAX_CHANNEL = 0xFFFFFFFF


@attrs.define(kw_only=True, eq=False)
class PendingCall:
    """Call that waits for the answer on its channel.

    ``outgoing`` is the frame of the call once it was posted.
    """

    channel: int
    outgoing: OutgoingFrame | None = None
    answered: anyio.Event = attrs.field(factory=anyio.Event)
    reply: object = None
    error: PeerError | None = None

    def resolve(self, body: object) -> None:
        """Record the answer or the failure and wake the caller."""
        if isinstance(body, Failure):
            self.error = make_error(body)
        else:
            self.reply = body
        self.answered.set()

    def fail(self, reason: str) -> None:
        """Record that no answer will come and wake the caller.

        The outcome is unknown unless the call was never written.
        """
        if self.outgoing is None or not self.outgoing.is_taken:
            self.error = NotSentError(
                reason=reason,
                remedy='send it again',
            )
        else:
            self.error = OutcomeUnknownError(
                reason=reason,
                remedy='look at the status of that daemon before trying again',
            )
        self.answered.set()

    def unwrap(self) -> object:
        """Return the answer or raise the failure."""
        if self.error is not None:
            raise self.error
        return self.reply


class PendingCalls:
    """Calls by the channel that each one was given."""

    def __init__(self) -> None:
        """Start without any call."""
        self._channels = itertools.cycle(range(1, _MAX_CHANNEL))
        self._by_channel: dict[int, PendingCall] = {}

    def __len__(self) -> int:
        """Return the number of calls that wait."""
        return len(self._by_channel)

    def open(self) -> PendingCall:
        """Return a new call on a channel of its own."""
        pending = PendingCall(channel=next(self._channels))
        self._by_channel[pending.channel] = pending
        return pending

    def close(self, pending: PendingCall) -> None:
        """Remove the call; an answer that arrives later is ignored."""
        self._by_channel.pop(pending.channel, None)

    def resolve(self, frame: Frame) -> None:
        """Pass the answer in ``frame`` to its call, if it still waits."""
        pending = self._by_channel.get(frame.channel)
        if pending is not None:
            pending.resolve(decode(frame.payload))

    def fail_all(self) -> None:
        """Fail each call that has no answer yet."""
        for pending in tuple(self._by_channel.values()):
            if not pending.answered.is_set():
                pending.fail('the stream ended before the answer came')
