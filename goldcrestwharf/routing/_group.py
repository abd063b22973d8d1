"""State of one target group."""

import random
from collections.abc import Iterator, Sequence

import attrs

from goldcrestwharf.membership import (
    Member,
    MemberState,
    Target,
    TargetState,
)
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.routing._ejection import Ejector
from goldcrestwharf.routing._model import Candidate, TargetOutcome
from goldcrestwharf.routing._pool import Constraints, PoolEntry
from goldcrestwharf.routing._records import TargetRecords
from goldcrestwharf.routing._settings import RoutingSettings
from goldcrestwharf.routing._zones import ZonedPools

_MS_PER_S = 1000

#: What :meth:`MembershipView.targets` returns.
Listing = Sequence[tuple[Member, Target]]

_REACHABLE = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@attrs.frozen(kw_only=True)
class GroupContext:
    """Context shared by all groups of one daemon."""

    zone: str
    cfg: RoutingSettings
    rng: random.Random


class GroupState:
    """Target records and pools of one target group."""

    def __init__(self, *, context: GroupContext) -> None:
        """Start with no targets."""
        self._context = context
        self._pools = ZonedPools(cfg=context.cfg, rng=context.rng)
        self._ejector = Ejector(cfg=context.cfg, rng=context.rng)
        self._records = TargetRecords(cfg=context.cfg)
        self._listing: Listing = ()
        self._group = TargetGroup()

    @property
    def spill_share(self) -> float:
        """Return the fraction of requests sent to other zones."""
        return self._pools.spill.share

    def refresh(self, listing: Listing, group: TargetGroup, now: float) -> None:
        """Update the group's targets; an unchanged listing is cheap.

        The membership lists suspects only if it has no other members or
        presumes that the local daemon is cut off. They are then treated like
        any other target, and request outcomes show which are alive.
        """
        is_same_group = group is self._group or group == self._group
        if is_same_group and listing == self._listing:
            return
        self._listing = listing
        self._group = group
        entries = tuple(self._make_entries(now))
        self._pools.replace(entries, self._context.zone)
        self._pools.spill.start_percent = group.spill_percent
        self._ejector.replace_targets(
            tuple(entry.record for entry in entries),
            group=group,
            now=now,
        )
        present = frozenset(entry.key for entry in entries)
        self._records.mark_present(present, now)

    def pick(self, constraints: Constraints) -> PoolEntry | None:
        """Return a target for one attempt and count the attempt."""
        probed = None
        if constraints.may_probe and self._ejector.ejected:
            probed = self._pools.find_probe(constraints)
        is_panic = self._ejector.is_panic
        chosen = probed or self._pools.pick(constraints, is_panic=is_panic)
        if chosen is not None:
            chosen.record.load.start_request()
        return chosen

    def record_outcome(self, outcome: TargetOutcome, now: float) -> int:
        """Record an outcome; return the target's outstanding requests."""
        record = self._records.get(outcome.key)
        if record is None:
            return 0
        record.load.finish_request()
        if outcome.load is not None:
            record.load.update(outcome.load, now)
        self._ejector.record_outcome(record, outcome.kind, now)
        return record.load.outstanding

    def _make_entries(self, now: float) -> Iterator[PoolEntry]:
        for member, target in self._listing:
            is_leaving = target.state is TargetState.LEAVING
            if is_leaving or member.state not in _REACHABLE:
                continue
            candidate = Candidate(member=member, target=target)
            yield PoolEntry(
                candidate=candidate,
                key=candidate.key,
                record=self._records.find(candidate.key, now),
                slow_start=self._slow_start_s(target),
            )

    def _slow_start_s(self, target: Target) -> float:
        longest = max(self._group.slow_start_ms, target.cold_start_ms)
        return longest / _MS_PER_S
