"""Build the log records of a proposal."""

from goldcrestwharf.objects import (
    RULES_REVISION,
    ObjectSet,
    diff,
    digest_of,
    encode_delta,
)
from goldcrestwharf.publishing._proposal import Proposal
from goldcrestwharf.replay import (
    EpochStart,
    Publish,
    Replica,
    Snapshot,
    Version,
    pack_snapshot,
)


def build_publish(replica: Replica, proposal: Proposal) -> Publish:
    """Return the record that changes the active set to the proposed one."""
    current = replica.snapshot
    before = ObjectSet() if current is None else current.objects
    return Publish(
        id=proposal.id,
        base=None if current is None else current.version,
        rules=RULES_REVISION,
        delta=encode_delta(diff(before, proposal.objects)),
        digest=digest_of(proposal.objects),
        origin=proposal.origin,
    )


def build_epoch_start(
    replica: Replica,
    proposal: Proposal,
    epoch: int,
) -> EpochStart:
    """Return the record that starts ``epoch`` at the end of the log."""
    snapshot = Snapshot(
        version=Version(epoch, replica.end_offset),
        digest=digest_of(proposal.objects),
        objects=proposal.objects,
        rules=RULES_REVISION,
    )
    return EpochStart(
        id=proposal.id,
        snapshot=pack_snapshot(snapshot),
        origin=proposal.origin,
    )
