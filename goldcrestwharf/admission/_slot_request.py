"""Requests for a slot of a target."""

import math
from collections.abc import Callable

import attrs

from goldcrestwharf.admission._refusal import Refusal


@attrs.define(kw_only=True, eq=False)
class SlotRequest:
    """Request for a slot.

    ``objective_at`` and ``deadline_at`` are monotonic times in seconds. A
    lower ``priority`` is more urgent. ``decide`` is called once a queued
    request is granted a slot (``None``) or refused. Whoever waits for the
    decision gives up at ``expires_at``, which the scheduler sets.
    ``workspace`` is empty for requests of no workspace.
    """

    request_class: str
    priority: int
    objective_at: float
    deadline_at: float
    decide: Callable[[Refusal | None], None]
    workspace: str = ''
    is_waiting: bool = False
    expires_at: float = math.inf
