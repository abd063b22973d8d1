"""Define the messages between the daemons of the caller and the target."""

import enum
import http

import attrs

from goldcrestwharf.limits import TargetLoad
from goldcrestwharf.wire import message

#: Header fields as in ASGI and HTTP libraries, with names in lower case.
HeaderFields = tuple[tuple[bytes, bytes], ...]


class HopReason(enum.StrEnum):
    """Reason of a refusal that isn't due to a limit.

    A :class:`HopRefusal` has one of these or a ``RefusalReason`` of the
    limits. The request did not run in either case.
    """

    NO_CONFIGURATION = 'no-configuration'
    NO_ROUTE = 'no-route'
    NO_TARGET = 'no-target'
    TARGET_UNKNOWN = 'target-unknown'
    NOT_SENT = 'not-sent'


class UnknownReason(enum.StrEnum):
    """Reason why it is unknown whether a request has run."""

    TIMEOUT = 'timeout'
    CONNECTION_LOST = 'connection-lost'
    ANSWER_BROKEN = 'answer-broken'
    PEER_LOST = 'peer-lost'
    EARLIER_COPY = 'earlier-copy'
    DAEMON_STOPPED = 'daemon-stopped'


@message('hops.request')
@attrs.frozen(kw_only=True)
class HopRequest:
    """A request for the daemon on the VM of a target, to run on it.

    ``path`` is the path with the query, as the caller sent it.
    ``remaining_ms`` is the time until the deadline and ``retries`` the
    number of retries on all hops so far. ``fingerprint`` identifies equal
    requests, and ``caller`` selects the share of the queue.
    """

    target: str
    group: str
    service: str
    route: str
    caller: str
    method: bytes
    path: bytes
    headers: HeaderFields
    body: bytes
    remaining_ms: float
    is_repeatable: bool
    fingerprint: str
    retries: int = 0
    traceparent: str = ''


@message('hops.answer')
@attrs.frozen(kw_only=True)
class HopAnswer:
    """The complete answer of a target."""

    status: int
    headers: HeaderFields
    body: bytes
    load: TargetLoad | None = None

    @property
    def has_failed(self) -> bool:
        """Return whether the target answered with a server error."""
        return self.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR


@message('hops.refusal')
@attrs.frozen(kw_only=True)
class HopRefusal:
    """The refusal of a request that was not and never will be dispatched.

    ``reason`` is a :class:`HopReason` or a ``RefusalReason``.
    ``retry_after`` is in seconds; ``None`` means that a retry is pointless.
    """

    reason: str
    retry_after: float | None = None
    load: TargetLoad | None = None


@message('hops.unknown')
@attrs.frozen(kw_only=True)
class HopUnknown:
    """The outcome of a dispatched request without a complete answer.

    ``reason`` is an :class:`UnknownReason`.
    """

    reason: str
    load: TargetLoad | None = None


#: The outcome of one attempt.
HopOutcome = HopAnswer | HopRefusal | HopUnknown
