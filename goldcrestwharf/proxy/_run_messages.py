"""Define the messages that carry requests and their outcomes."""

import attrs

from goldcrestwharf.proxy._codec import message
from goldcrestwharf.proxy._order import RunOrder

_MS_PER_S = 1000

#: Numbers on the wire.
_RUN = 5
_ANSWERED = 6
_NOT_RUN = 7
_OUTCOME_LOST = 8
_CANCEL = 9
_INQUIRE = 10


@message(_RUN)
@attrs.define(kw_only=True)
class Run:
    """Ask for one try of a request; times are in milliseconds."""

    number: int
    request_id: str
    request_class: str
    service: str
    instance_id: str
    priority: int
    left_ms: int
    objective_ms: int
    is_repeatable: bool
    head: bytes
    body: bytes

    def order(self) -> RunOrder:
        """Return what is asked for."""
        return RunOrder(
            request_id=self.request_id,
            request_class=self.request_class,
            service=self.service,
            instance_id=self.instance_id,
            priority=self.priority,
            left=self.left_ms / _MS_PER_S,
            objective_left=self.objective_ms / _MS_PER_S,
            is_repeatable=self.is_repeatable,
            head=self.head,
            body=self.body,
        )


@message(_ANSWERED)
@attrs.define(kw_only=True)
class Answered:
    """Carry the whole answer of a target."""

    number: int
    status: int
    head: bytes
    body: bytes
    report: list[int]


@message(_NOT_RUN)
@attrs.define(kw_only=True)
class NotRun:
    """State that a request did not run and never will."""

    number: int
    reason: str
    retry_after_ms: int
    reached_target: bool
    report: list[int]


@message(_OUTCOME_LOST)
@attrs.define(kw_only=True)
class OutcomeLost:
    """State that a request may have run."""

    number: int
    reason: str
    report: list[int]


@message(_CANCEL)
@attrs.define(kw_only=True)
class Cancel:
    """Give up a request whose caller is gone."""

    number: int


@message(_INQUIRE)
@attrs.define(kw_only=True)
class Inquire:
    """Ask what became of requests that an earlier stream carried."""

    numbers: list[int]
