"""Evaluate a proposal before anything is appended."""

from collections.abc import Mapping
from types import MappingProxyType

from goldcrestwharf.documents import refusals
from goldcrestwharf.objects import (
    ObjectSet,
    check_change,
    check_objects,
    digest_of,
)
from goldcrestwharf.publishing._outcomes import (
    Outcome,
    Published,
    Refused,
    Unchanged,
)
from goldcrestwharf.publishing._proposal import Proposal
from goldcrestwharf.publishing._superseded import describe_superseded
from goldcrestwharf.replay import (
    FIRST_EPOCH,
    Decision,
    Replica,
    ReplicaState,
)

_REMEDIES: Mapping[ReplicaState, str] = MappingProxyType(
    {
        ReplicaState.HALTED: (
            'the log holds records under rules of a later release; '
            'upgrade this program'
        ),
        ReplicaState.LOG_REPLACED: (
            "the platform's log is not the one that the version in force came "
            'from; start an epoch with publish --new-epoch'
        ),
        ReplicaState.SEEKING: 'the log was not read to its end; try again',
        ReplicaState.NEEDS_PEERS: (
            'the log retains no checkpoint to start from; publish through a '
            'daemon, or start an epoch with publish --new-epoch'
        ),
    }
)


def evaluate_proposal(replica: Replica, proposal: Proposal) -> Outcome | None:
    """Return the outcome, or ``None`` if the proposal has to be appended."""
    if replica.state is not ReplicaState.FOLLOWING:
        return Refused(problems=(_REMEDIES[replica.state],))
    return (
        _find_duplicate(replica, proposal)
        or _check_set(proposal)
        or _check_base(replica, proposal)
        or _check_change(replica, proposal)
    )


def evaluate_epoch_proposal(
    replica: Replica,
    proposal: Proposal,
    epoch: int,
) -> Outcome | None:
    """Return the outcome, or ``None`` if the epoch has to be started."""
    if replica.halt_reason:
        return Refused(problems=(_REMEDIES[ReplicaState.HALTED],))
    duplicate = _find_duplicate(replica, proposal)
    known = max(replica.lineage.epoch, FIRST_EPOCH)
    if duplicate is None and epoch <= known:
        problem = f'epoch {known} is in force; start a higher one'
        return Refused(problems=(problem,))
    return duplicate or _check_set(proposal)


def _find_duplicate(replica: Replica, proposal: Proposal) -> Outcome | None:
    earlier = replica.journal.find(proposal.id)
    if earlier is None or earlier.version is None:
        earlier = _find_same_content(replica, proposal)
    if earlier is None or earlier.version is None:
        return None
    return Published(id=earlier.id, version=earlier.version, is_repeat=True)


def _find_same_content(
    replica: Replica,
    proposal: Proposal,
) -> Decision | None:
    if proposal.base is None:
        return None
    digest = digest_of(proposal.objects)
    for decision in replica.journal.decisions:
        change = decision.change
        if change is None or change.base != proposal.base:
            continue
        if change.digest == digest:
            return decision
    return None


def _check_set(proposal: Proposal) -> Outcome | None:
    problems = refusals(check_objects(proposal.objects))
    if problems:
        return Refused(problems=tuple(str(problem) for problem in problems))
    return None


def _check_base(replica: Replica, proposal: Proposal) -> Outcome | None:
    snapshot = replica.snapshot
    current = None if snapshot is None else snapshot.version
    if proposal.base is None or proposal.base == current:
        return None
    return describe_superseded(replica, proposal.base)


def _check_change(replica: Replica, proposal: Proposal) -> Outcome | None:
    snapshot = replica.snapshot
    if snapshot is not None and snapshot.objects == proposal.objects:
        return Unchanged(version=snapshot.version)
    problems = check_change(
        ObjectSet() if snapshot is None else snapshot.objects,
        proposal.objects,
        allow_large_removal=proposal.allow_large_removal,
    )
    if refusals(problems):
        return Refused(problems=tuple(str(problem) for problem in problems))
    return None
