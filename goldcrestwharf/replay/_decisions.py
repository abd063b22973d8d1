"""Define what replaying a record decides."""

import enum

import attrs

from goldcrestwharf.replay._records import EpochStart, Origin, Publish
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version
from goldcrestwharf.wire import message


class RefusalReason(enum.StrEnum):
    """Tell why a change was not accepted."""

    SUPERSEDED = 'superseded'
    MALFORMED = 'malformed'
    MISFIT = 'misfit'
    DIGEST = 'digest'
    INVALID = 'invalid'
    EPOCH = 'epoch'


@attrs.frozen(kw_only=True)
class Refusal:
    """State why a change was refused.

    ``current`` is the version that was in force at that record.
    """

    reason: RefusalReason
    details: tuple[str, ...]
    current: Version | None = None


@message('replay.change')
@attrs.frozen(kw_only=True)
class AppliedChange:
    """Hold an accepted change in the form in which daemons relay it.

    ``delta`` is the encoded delta from ``base``, or from the empty set if
    that is ``None``.
    """

    base: Version | None
    version: Version
    rules: int
    digest: str
    delta: bytes


@attrs.frozen(kw_only=True)
class Accepted:
    """Hold an accepted change and the configuration that it leads to."""

    change: AppliedChange
    snapshot: Snapshot


Verdict = Accepted | Refusal


@attrs.frozen(kw_only=True)
class Decision:
    """Tell what became of one publish or start of an epoch.

    ``version`` is the version that it became, ``None`` if it was refused;
    ``refusal`` is ``None`` if it was accepted.
    """

    offset: int
    id: str
    origin: Origin
    base: Version | None
    version: Version | None = None
    refusal: Refusal | None = None
    change: AppliedChange | None = None


def decide(
    offset: int,
    record: Publish | EpochStart,
    verdict: Verdict,
) -> Decision:
    """Return the decision on ``record`` for the history."""
    decision = Decision(
        offset=offset,
        id=record.id,
        origin=record.origin,
        base=record.base if isinstance(record, Publish) else None,
    )
    if isinstance(verdict, Refusal):
        return attrs.evolve(decision, refusal=verdict)
    return attrs.evolve(
        decision,
        version=verdict.change.version,
        change=verdict.change,
    )
