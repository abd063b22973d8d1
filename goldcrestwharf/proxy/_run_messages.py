"""Messages that carry attempts and their outcomes."""

import attrs

from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._codec import message

_MS_PER_S = 1000

#: Message numbers; they must not change.
_RUN = 5
_ANSWERED = 6
_NOT_RUN = 7
_OUTCOME_LOST = 8
_CANCEL = 9
_INQUIRE = 10


@message(_RUN)
@attrs.define(kw_only=True)
class Run:
    """Attempt of a request; times are in milliseconds."""

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
    workspace: str = ''
    needs_free_slot: bool = False

    def attempt(self) -> Attempt:
        """Return the attempt."""
        return Attempt(
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
            workspace=self.workspace,
            needs_free_slot=self.needs_free_slot,
        )


@message(_ANSWERED)
@attrs.define(kw_only=True)
class Answered:
    """Complete answer of a target; ``is_leaving`` if it will stop."""

    number: int
    status: int
    head: bytes
    body: bytes
    report: list[int]
    is_leaving: bool = False


@message(_NOT_RUN)
@attrs.define(kw_only=True)
class NotRun:
    """Refusal of a request that did not run and never will."""

    number: int
    reason: str
    retry_after_ms: int
    reached_target: bool
    report: list[int]


@message(_OUTCOME_LOST)
@attrs.define(kw_only=True)
class OutcomeLost:
    """Unknown outcome of a request that may have run."""

    number: int
    reason: str
    report: list[int]


@message(_CANCEL)
@attrs.define(kw_only=True)
class Cancel:
    """Cancellation of a request whose caller is gone."""

    number: int


@message(_INQUIRE)
@attrs.define(kw_only=True)
class Inquire:
    """Inquiry for the state of requests sent over an earlier stream."""

    numbers: list[int]
