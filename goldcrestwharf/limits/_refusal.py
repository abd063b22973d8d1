"""State why a request is refused before it runs."""

import enum

import attrs


class RefusalReason(enum.StrEnum):
    """Name what a request was refused for; none of them ran."""

    NO_TARGET = 'no-target'
    LEAVING = 'leaving'
    QUEUE_FULL = 'queue-full'
    EXPECTED_WAIT = 'expected-wait'
    DEADLINE_SPENT = 'deadline-spent'
    CALLER_SHARE = 'caller-share'
    SERVICE_SHARE = 'service-share'
    DAEMON_FULL = 'daemon-full'
    KILLS_TARGETS = 'kills-targets'
    CLAIMS_UNAVAILABLE = 'claims-unavailable'


@attrs.frozen(kw_only=True)
class Refusal:
    """State why a request was refused before dispatch.

    ``retry_after`` is in seconds; ``None`` means that a retry is pointless.
    """

    reason: RefusalReason
    retry_after: float | None = None
