"""Follow the targets of one target group."""

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
from goldcrestwharf.routing._pool import Draw, Entry
from goldcrestwharf.routing._records import Records
from goldcrestwharf.routing._settings import RoutingSettings
from goldcrestwharf.routing._zones import ZonedPools

_MS_PER_SECOND = 1000

#: What :meth:`MembershipView.targets` returns.
Listing = Sequence[tuple[Member, Target]]

_REACHABLE = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@attrs.frozen(kw_only=True)
class GroupContext:
    """Hold what all groups of one daemon share."""

    zone: str
    cfg: RoutingSettings
    rng: random.Random


class GroupState:
    """Hold the records and the pools of one target group."""

    def __init__(self, *, context: GroupContext) -> None:
        """Start without targets."""
        self._context = context
        self._pools = ZonedPools(cfg=context.cfg, rng=context.rng)
        self._ejector = Ejector(cfg=context.cfg, rng=context.rng)
        self._records = Records(cfg=context.cfg)
        self._listing: Listing = ()
        self._group = TargetGroup()

    @property
    def spill_share(self) -> float:
        """Return the share of the requests that leaves the zone."""
        return self._pools.spill.share

    def refresh(self, listing: Listing, group: TargetGroup, now: float) -> None:
        """Take in the group's targets; an equal listing costs little.

        The membership lists suspects only if there is nobody else, or if it
        presumes that this daemon is cut off. Then they are as good as any
        other, and the requests themselves tell which of them live.
        """
        is_same_group = group is self._group or group == self._group
        if is_same_group and listing == self._listing:
            return
        self._listing = listing
        self._group = group
        entries = tuple(self._make_entries(now))
        self._pools.replace(entries, self._context.zone)
        self._pools.spill.start_percent = group.spill_percent
        self._ejector.watch(
            tuple(entry.record for entry in entries),
            group=group,
            now=now,
        )
        present = frozenset(entry.key for entry in entries)
        self._records.note_present(present, now)

    def pick(self, draw: Draw) -> Entry | None:
        """Return a target for one try and count the try."""
        probed = None
        if draw.may_probe and self._ejector.out:
            probed = self._pools.find_probe(draw)
        is_panic = self._ejector.is_panic
        chosen = probed or self._pools.pick(draw, is_panic=is_panic)
        if chosen is not None:
            chosen.record.load.begin()
        return chosen

    def note(self, outcome: TargetOutcome, now: float) -> int:
        """Take in how a try ended; return how many are outstanding."""
        record = self._records.get(outcome.key)
        if record is None:
            return 0
        record.load.end()
        if outcome.load is not None:
            record.load.report(outcome.load, now)
        self._ejector.note(record, outcome.kind, now)
        return record.load.outstanding

    def _make_entries(self, now: float) -> Iterator[Entry]:
        for member, target in self._listing:
            is_leaving = target.state is TargetState.LEAVING
            if is_leaving or member.state not in _REACHABLE:
                continue
            candidate = Candidate(member=member, target=target)
            yield Entry(
                candidate=candidate,
                key=candidate.key,
                record=self._records.find(candidate.key, now),
                slow_start=self._find_slow_start(target),
            )

    def _find_slow_start(self, target: Target) -> float:
        longest = max(self._group.slow_start_ms, target.cold_start_ms)
        return longest / _MS_PER_SECOND
