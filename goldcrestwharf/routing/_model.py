"""Define what the choice of a target takes and gives."""

import enum

import attrs

from goldcrestwharf.limits import TargetLoad
from goldcrestwharf.membership import Member, Target


@attrs.frozen(kw_only=True, cache_hash=True)
class TargetKey:
    """Name a target of the mesh."""

    vm: str
    target: str


@attrs.frozen(kw_only=True)
class Candidate:
    """Hold the target chosen and the daemon on its VM."""

    member: Member
    target: Target

    @property
    def key(self) -> TargetKey:
        """Return the target's name in the mesh."""
        return TargetKey(vm=self.member.vm, target=self.target.name)


class OutcomeKind(enum.StrEnum):
    """Tell how a try at a target ended.

    ``ANSWERED`` is a whole answer of any status, ``REFUSED`` a refusal by
    the target's daemon or a target that sheds load, ``FAILED`` a broken or
    truncated exchange, ``TIMED_OUT`` a target that gave no answer in time,
    ``NOT_REACHED`` a daemon or target that couldn't be connected to, and
    ``ABANDONED`` a try that the caller gave up, which proves nothing.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    NOT_REACHED = 'not-reached'
    ABANDONED = 'abandoned'


@attrs.frozen(kw_only=True)
class TargetOutcome:
    """Tell how a try ended; ``latency`` is in seconds.

    ``load`` is what the target's daemon said with its answer, ``None`` if
    there was none.
    """

    key: TargetKey
    kind: OutcomeKind
    load: TargetLoad | None = None
    latency: float = 0
