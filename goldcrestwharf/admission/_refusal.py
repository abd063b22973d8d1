"""Say why a request was turned away before it ran."""

import enum

import attrs


class RefusalReason(enum.StrEnum):
    """Name why a request did not run."""

    NO_CONFIGURATION = 'no-configuration'
    NO_TARGET = 'no-target'
    OVERLOADED = 'overloaded'
    TOO_LATE = 'too-late'
    NOT_HERE = 'not-here'
    DRAINING = 'draining'
    TARGET_DOWN = 'target-down'
    TARGET_REFUSED = 'target-refused'
    NOT_SENT = 'not-sent'
    LOST_ON_WAY = 'lost-on-way'
    LEAVING = 'leaving'
    WITHDRAWN = 'withdrawn'


@attrs.frozen(kw_only=True)
class Refusal:
    """State that a request did not run and never will.

    ``retry_after`` is in seconds. ``reached_target`` is set if the target
    itself turned it away, which counts against the budget of repeats.
    """

    reason: RefusalReason
    retry_after: float = 0
    reached_target: bool = False
