"""Define the results of replaying a record."""

import enum

import attrs

from goldcrestwharf.replay._records import EpochStart, Origin, Publish
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version
from goldcrestwharf.wire import message


class RefusalReason(enum.StrEnum):
    """Why a change was not accepted."""

    SUPERSEDED = 'superseded'
    MALFORMED = 'malformed'
    MISFIT = 'misfit'
    DIGEST = 'digest'
    INVALID = 'invalid'
    EPOCH = 'epoch'


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a change was refused.

    ``current`` is the version that was active before that record.
    """

    reason: RefusalReason
    details: tuple[str, ...]
    current: Version | None = None


@message('replay.change')
@attrs.frozen(kw_only=True)
class AppliedChange:
    """An accepted change in the form in which daemons relay it.

    ``delta`` is the encoded delta from ``base``, or from the empty set if
    ``base`` is ``None``.
    """

    base: Version | None
    version: Version
    rules: int
    digest: str
    delta: bytes


@attrs.frozen(kw_only=True)
class Accepted:
    """An accepted change and the configuration that results from it."""

    change: AppliedChange
    snapshot: Snapshot


EvaluationResult = Accepted | Refusal


@attrs.frozen(kw_only=True)
class Decision:
    """The outcome of one publish or epoch start.

    ``version`` is the version that it created, ``None`` if it was refused;
    ``refusal`` is ``None`` if it was accepted.
    """

    offset: int
    id: str
    origin: Origin
    base: Version | None
    version: Version | None = None
    refusal: Refusal | None = None
    change: AppliedChange | None = None


def make_decision(
    offset: int,
    record: Publish | EpochStart,
    evaluation: EvaluationResult,
) -> Decision:
    """Return the entry of the history for ``record``."""
    decision = Decision(
        offset=offset,
        id=record.id,
        origin=record.origin,
        base=record.base if isinstance(record, Publish) else None,
    )
    if isinstance(evaluation, Refusal):
        return attrs.evolve(decision, refusal=evaluation)
    return attrs.evolve(
        decision,
        version=evaluation.change.version,
        change=evaluation.change,
    )
