"""Input and output types of the load balancer."""

import enum

import attrs

from goldcrestwharf.limits import TargetLoad
from goldcrestwharf.membership import Member, Target


@attrs.frozen(kw_only=True, cache_hash=True)
class TargetKey:
    """Mesh-wide identifier of a target."""

    vm: str
    target: str


@attrs.frozen(kw_only=True)
class Candidate:
    """A target and the daemon on its VM."""

    member: Member
    target: Target

    @property
    def key(self) -> TargetKey:
        """Return the mesh-wide identifier of the target."""
        return TargetKey(vm=self.member.vm, target=self.target.name)


class OutcomeKind(enum.StrEnum):
    """Outcome of an attempt.

    ``ANSWERED`` is a complete answer of any status, ``REFUSED`` a refusal by
    the target's daemon or a target that sheds load, ``FAILED`` a broken or
    truncated exchange, ``TIMED_OUT`` no answer in time, ``NOT_REACHED`` a
    daemon or target that couldn't be connected to, and ``ABANDONED`` an
    attempt that the caller cancelled, which says nothing about the target.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    NOT_REACHED = 'not-reached'
    ABANDONED = 'abandoned'


@attrs.frozen(kw_only=True)
class TargetOutcome:
    """Outcome of an attempt; ``latency`` is in seconds.

    ``load`` is the load reported by the target's daemon with its answer,
    ``None`` if there was no answer.
    """

    key: TargetKey
    kind: OutcomeKind
    load: TargetLoad | None = None
    latency: float = 0
