"""Decide whether a change is accepted.

The verdict depends on the record and on the configuration before it alone,
so that all who replay the log agree.
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
    Refusal,
    RefusalReason,
    Verdict,
)
from goldcrestwharf.replay._records import EpochStart, PackedSnapshot, Publish
from goldcrestwharf.replay._sets import change_set, check_set, decode_set
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version

#: The epoch of a log that no operator started anew.
FIRST_EPOCH = 1


def judge_publish(
    current: Snapshot | None,
    publish: Publish,
    offset: int,
) -> Verdict:
    """Return the verdict on the publish that stands at ``offset``.

    Raises :class:`UnknownRulesError` if this release can't tell.
    """
    change = AppliedChange(
        base=publish.base,
        version=Version(_epoch_of(current), offset),
        rules=publish.rules,
        digest=publish.digest,
        delta=publish.delta,
    )
    return judge_change(current, change)


def judge_change(current: Snapshot | None, change: AppliedChange) -> Verdict:
    """Return the verdict on a change to ``current``.

    It serves for publishes and for changes that another daemon relays.
    Raises :class:`UnknownRulesError` if this release can't tell.
    """
    in_force = None if current is None else current.version
    if change.base != in_force:
        return Refusal(
            reason=RefusalReason.SUPERSEDED,
            details=(f'it is based on {change.base}, not on {in_force}',),
            current=in_force,
        )
    find_rules(change.rules)
    before = ObjectSet() if current is None else current.objects
    made = change_set(before, change.delta).bind(
        partial(check_set, digest=change.digest, rules=change.rules),
    )
    snapshot = made.map(partial(_make_snapshot, change))
    if isinstance(snapshot, Success):
        return Accepted(change=change, snapshot=snapshot.unwrap())
    return attrs.evolve(snapshot.failure(), current=in_force)


def judge_epoch(
    current: Snapshot | None,
    start: EpochStart,
    offset: int,
) -> Verdict:
    """Return the verdict on the start of an epoch at ``offset``.

    Raises :class:`UnknownRulesError` if this release can't tell.
    """
    in_force = None if current is None else current.version
    version = start.snapshot.version
    if version.offset != offset or version.epoch <= _epoch_of(current):
        return Refusal(
            reason=RefusalReason.EPOCH,
            details=('another record came first',),
            current=in_force,
        )
    made = unpack_snapshot(start.snapshot)
    if isinstance(made, Success):
        change = change_between(current, made.unwrap())
        return Accepted(change=change, snapshot=made.unwrap())
    return attrs.evolve(made.failure(), current=in_force)


def pack_snapshot(snapshot: Snapshot) -> PackedSnapshot:
    """Return ``snapshot`` in the form in which it travels."""
    return PackedSnapshot(
        version=snapshot.version,
        rules=snapshot.rules,
        digest=snapshot.digest,
        objects=encode_objects(snapshot.objects),
    )


def unpack_snapshot(packed: PackedSnapshot) -> Result[Snapshot, Refusal]:
    """Return the configuration in ``packed`` if it is whole and valid.

    Raises :class:`UnknownRulesError` if this release can't tell.
    """
    find_rules(packed.rules)
    made = decode_set(packed.objects).bind(
        partial(check_set, digest=packed.digest, rules=packed.rules),
    )
    return made.map(
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
