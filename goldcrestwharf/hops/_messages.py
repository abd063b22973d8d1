"""Define the messages between the caller's and the target's daemon."""

import enum

import attrs

from goldcrestwharf.wire import message

#: Header fields as ASGI and HTTP libraries hold them.
HeaderFields = tuple[tuple[bytes, bytes], ...]


class RefusalReason(enum.StrEnum):
    """Tell why a request was refused before it was dispatched."""

    NO_CONFIGURATION = 'no-configuration'
    NO_ROUTE = 'no-route'
    NO_TARGET = 'no-target'
    TARGET_UNKNOWN = 'target-unknown'
    LEAVING = 'leaving'
    OVERLOAD = 'overload'
    CALLER_SHARE = 'caller-share'
    DEADLINE = 'deadline'
    CRASH_LOOP = 'crash-loop'
    CLAIM_UNAVAILABLE = 'claim-unavailable'
    NOT_SENT = 'not-sent'


class UnknownReason(enum.StrEnum):
    """Tell why nobody knows whether a request has run."""

    TIMEOUT = 'timeout'
    CONNECTION_LOST = 'connection-lost'
    ANSWER_BROKEN = 'answer-broken'
    PEER_LOST = 'peer-lost'


@attrs.frozen(kw_only=True)
class Load:
    """Count a target's requests as its own daemon sees them."""

    in_use: int
    queued: int
    slots: int


@message('hops.request')
@attrs.frozen(kw_only=True)
class HopRequest:
    """Ask the daemon on a target's VM to run a request on that target.

    ``path`` holds the path with the query, as the caller sent it.
    ``remaining_ms`` is the rest of the deadline, ``attempt`` counts the
    tries before this one over all hops, and ``fingerprint`` names requests
    that are alike.
    """

    target: str
    group: str
    service: str
    route: str
    method: bytes
    path: bytes
    headers: HeaderFields
    body: bytes
    remaining_ms: float
    is_repeatable: bool
    attempt: int = 0
    traceparent: str = ''
    fingerprint: str = ''


@message('hops.answer')
@attrs.frozen(kw_only=True)
class HopAnswer:
    """Return the whole answer of a target."""

    status: int
    headers: HeaderFields
    body: bytes
    load: Load | None = None


@message('hops.refusal')
@attrs.frozen(kw_only=True)
class HopRefusal:
    """Tell that the request was not dispatched and never will be.

    ``reason`` is a :class:`RefusalReason` and ``retry_after`` in seconds;
    ``None`` means that a retry is pointless.
    """

    reason: str
    retry_after: float | None = None
    load: Load | None = None


@message('hops.unknown')
@attrs.frozen(kw_only=True)
class HopUnknown:
    """Tell that the request was dispatched, but no whole answer came.

    ``reason`` is an :class:`UnknownReason`.
    """

    reason: str
    load: Load | None = None


#: What one try of a request comes to.
HopOutcome = HopAnswer | HopRefusal | HopUnknown
