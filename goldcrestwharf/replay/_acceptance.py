"""Evaluate whether a change is accepted.

The result depends only on the record and on the configuration before it, so
that all daemons that replay the log agree.
"""

from functools import partial

import attrs
from returns.result import Result, Success

from goldcrestwharf.objects import (
    ObjectSet,
    diff,
    encode_delta,
    encode_objects,
    find_rules,
)
from goldcrestwharf.replay._decisions import (
    Accepted,
    AppliedChange,
    EvaluationResult,
    Refusal,
    RefusalReason,
)
from goldcrestwharf.replay._records import EpochStart, PackedSnapshot, Publish
from goldcrestwharf.replay._sets import (
    apply_packed_delta,
    decode_set,
    validate_set,
)
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version

#: The epoch of a log before any ``EpochStart`` record.
FIRST_EPOCH = 1


def evaluate_publish(
    current: Snapshot | None,
    publish: Publish,
    offset: int,
) -> EvaluationResult:
    """Return the result of evaluating the publish at ``offset``.

    Raises :class:`UnknownRulesError` if this release lacks the rules.
    """
    change = AppliedChange(
        base=publish.base,
        version=Version(_epoch_of(current), offset),
        rules=publish.rules,
        digest=publish.digest,
        delta=publish.delta,
    )
    return evaluate_change(current, change)


def evaluate_change(
    current: Snapshot | None, change: AppliedChange
) -> EvaluationResult:
    """Return the result of evaluating a change to ``current``.

    Used for publishes and for changes that another daemon relays. Raises
    :class:`UnknownRulesError` if this release lacks the rules.
    """
    current_version = None if current is None else current.version
    if change.base != current_version:
        return Refusal(
            reason=RefusalReason.SUPERSEDED,
            details=(
                f'it is based on {change.base}, not on {current_version}',
            ),
            current=current_version,
        )
    find_rules(change.rules)
    before = ObjectSet() if current is None else current.objects
    validated = apply_packed_delta(before, change.delta).bind(
        partial(validate_set, digest=change.digest, rules=change.rules),
    )
    snapshot = validated.map(partial(_make_snapshot, change))
    if isinstance(snapshot, Success):
        return Accepted(change=change, snapshot=snapshot.unwrap())
    return attrs.evolve(snapshot.failure(), current=current_version)


def evaluate_epoch_start(
    current: Snapshot | None,
    start: EpochStart,
    offset: int,
) -> EvaluationResult:
    """Return the result of evaluating an epoch start at ``offset``.

    Raises :class:`UnknownRulesError` if this release lacks the rules.
    """
    current_version = None if current is None else current.version
    version = start.snapshot.version
    if version.offset != offset or version.epoch <= _epoch_of(current):
        return Refusal(
            reason=RefusalReason.EPOCH,
            details=('another record was appended first',),
            current=current_version,
        )
    validated = unpack_snapshot(start.snapshot)
    if isinstance(validated, Success):
        change = change_between(current, validated.unwrap())
        return Accepted(change=change, snapshot=validated.unwrap())
    return attrs.evolve(validated.failure(), current=current_version)


def pack_snapshot(snapshot: Snapshot) -> PackedSnapshot:
    """Return the serializable form of ``snapshot``."""
    return PackedSnapshot(
        version=snapshot.version,
        rules=snapshot.rules,
        digest=snapshot.digest,
        objects=encode_objects(snapshot.objects),
    )


def unpack_snapshot(packed: PackedSnapshot) -> Result[Snapshot, Refusal]:
    """Return the configuration in ``packed`` if it is intact and valid.

    Raises :class:`UnknownRulesError` if this release lacks the rules.
    """
    find_rules(packed.rules)
    validated = decode_set(packed.objects).bind(
        partial(validate_set, digest=packed.digest, rules=packed.rules),
    )
    return validated.map(
        lambda objects: Snapshot(
            version=packed.version,
            digest=packed.digest,
            objects=objects,
            rules=packed.rules,
        ),
    )


def change_between(old: Snapshot | None, new: Snapshot) -> AppliedChange:
    """Return the change that leads from one configuration to a later one."""
    before = ObjectSet() if old is None else old.objects
    return AppliedChange(
        base=None if old is None else old.version,
        version=new.version,
        rules=new.rules,
        digest=new.digest,
        delta=encode_delta(diff(before, new.objects)),
    )


def _make_snapshot(change: AppliedChange, objects: ObjectSet) -> Snapshot:
    return Snapshot(
        version=change.version,
        digest=change.digest,
        objects=objects,
        rules=change.rules,
    )


def _epoch_of(current: Snapshot | None) -> int:
    return FIRST_EPOCH if current is None else current.version.epoch
