"""Refusals of requests before they run."""

import enum

import attrs


class RefusalReason(enum.StrEnum):
    """Why a request was not run."""

    NO_CONFIGURATION = 'no-configuration'
    NO_TARGET = 'no-target'
    OVERLOADED = 'overloaded'
    TOO_LATE = 'too-late'
    BUSY = 'busy'
    NOT_HERE = 'not-here'
    DRAINING = 'draining'
    TARGET_DOWN = 'target-down'
    TARGET_REFUSED = 'target-refused'
    NOT_SENT = 'not-sent'
    LOST_ON_WAY = 'lost-on-way'
    LEAVING = 'leaving'
    WITHDRAWN = 'withdrawn'
    CRASHES_TARGETS = 'crashes-targets'
    OVER_LIMIT = 'over-limit'
    NO_COORDINATOR = 'no-coordinator'


@attrs.frozen(kw_only=True)
class Refusal:
    """Final statement that a request did not run and never will.

    ``retry_after`` is in seconds. ``reached_target`` is set if the target
    itself refused the request; a retry then counts against the retry budget.
    """

    reason: RefusalReason
    retry_after: float = 0
    reached_target: bool = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request that must not wait found no free slot."""
        return self.reason is RefusalReason.BUSY
