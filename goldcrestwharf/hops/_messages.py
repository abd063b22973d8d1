"""Define the messages between the caller's and the target's daemon."""

import enum

import attrs

from goldcrestwharf.limits import TargetLoad
from goldcrestwharf.wire import message

#: Header fields as ASGI and HTTP libraries hold them, names in lower case.
HeaderFields = tuple[tuple[bytes, bytes], ...]


class HopReason(enum.StrEnum):
    """Name refusals that stem from the hops and not from a limit.

    A :class:`HopRefusal` carries one of these or a ``RefusalReason`` of the
    limits; in all cases the request did not run.
    """

    NO_CONFIGURATION = 'no-configuration'
    NO_ROUTE = 'no-route'
    NO_TARGET = 'no-target'
    TARGET_UNKNOWN = 'target-unknown'
    NOT_SENT = 'not-sent'


class UnknownReason(enum.StrEnum):
    """Tell why nobody knows whether a request has run."""

    TIMEOUT = 'timeout'
    CONNECTION_LOST = 'connection-lost'
    ANSWER_BROKEN = 'answer-broken'
    PEER_LOST = 'peer-lost'
    EARLIER_COPY = 'earlier-copy'
    DAEMON_STOPPED = 'daemon-stopped'


@message('hops.request')
@attrs.frozen(kw_only=True)
class HopRequest:
    """Ask the daemon on a target's VM to run a request on that target.

    ``path`` holds the path with the query, as the caller sent it.
    ``remaining_ms`` is the rest of the deadline and ``retries`` what was
    spent on retries over all hops so far. ``fingerprint`` names requests
    that are alike and ``caller`` whose share of the queue it takes.
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
    """Return the whole answer of a target."""

    status: int
    headers: HeaderFields
    body: bytes
    load: TargetLoad | None = None


@message('hops.refusal')
@attrs.frozen(kw_only=True)
class HopRefusal:
    """Tell that the request was not dispatched and never will be.

    ``reason`` is a :class:`HopReason` or a ``RefusalReason``. The wait
    ``retry_after`` is in seconds; ``None`` means that a retry is pointless.
    """

    reason: str
    retry_after: float | None = None
    load: TargetLoad | None = None


@message('hops.unknown')
@attrs.frozen(kw_only=True)
class HopUnknown:
    """Tell that the request was dispatched, but no whole answer came.

    ``reason`` is an :class:`UnknownReason`.
    """

    reason: str
    load: TargetLoad | None = None


#: What one try of a request comes to.
HopOutcome = HopAnswer | HopRefusal | HopUnknown
