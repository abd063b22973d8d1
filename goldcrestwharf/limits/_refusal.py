"""Refusals of requests before dispatch."""

import enum

import attrs


class RefusalReason(enum.StrEnum):
    """Reason why a request was refused; a refused request did not run."""

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
    """Refusal of a request before dispatch.

    ``retry_after`` is in seconds; ``None`` means that retrying won't help.
    """

    reason: RefusalReason
    retry_after: float | None = None
