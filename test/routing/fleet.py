"""Fake membership and fixture for the load balancer tests."""

from collections.abc import Sequence

import attrs

from goldcrestwharf.membership import Member, MemberState, Target, TargetState
from goldcrestwharf.routing import (
    Candidate,
    OutcomeKind,
    RoutingSettings,
    TargetChooser,
    TargetKey,
    TargetLoad,
    TargetOutcome,
)
from goldcrestwharf.timers import ManualTimers
from test.helper import make_rng

GROUP = 'menu-pool'


def make_pair(
    number: int,
    *,
    zone: str = 'recife-a',
    slots: int = 12,
    member_state: MemberState = MemberState.ALIVE,
    target_state: TargetState = TargetState.READY,
) -> tuple[Member, Target]:
    """Return the target ``t<number>``, the only one on its VM."""
    target = Target(
        name=f't{number}',
        group=GROUP,
        address='127.0.0.1:1',
        slots=slots,
        state=target_state,
    )
    member = Member(
        vm=f'vm-{number}',
        zone=zone,
        address='127.0.0.1:1',
        incarnation=1,
        state=member_state,
        targets=(target,),
    )
    return member, target


def key(number: int) -> TargetKey:
    """Return the key of the target made by :func:`make_pair`."""
    return TargetKey(vm=f'vm-{number}', target=f't{number}')


class Clock(ManualTimers):
    """Manual timers that advance without an event loop."""

    def skip(self, seconds: float) -> None:
        self._now += seconds


@attrs.define(kw_only=True)
class FakeView:
    """Membership view whose targets the test replaces."""

    pairs: tuple[tuple[Member, Target], ...] = ()

    def local_member(self) -> Member:
        return self.pairs[0][0]

    def members(self, zone: str | None = None) -> Sequence[Member]:
        return [member for member, _ in self.pairs]

    def targets(self, group: str) -> Sequence[tuple[Member, Target]]:
        return self.pairs


@attrs.define(kw_only=True)
class Fleet:
    """A chooser in zone ``recife-a`` with its fakes."""

    view: FakeView
    timers: Clock = attrs.field(factory=Clock)
    cfg: RoutingSettings = attrs.field(factory=RoutingSettings)
    chooser: TargetChooser = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.chooser = TargetChooser(
            view=self.view,
            zone='recife-a',
            timers=self.timers,
            rng=make_rng(),
            cfg=self.cfg,
        )

    def note(
        self,
        candidate: Candidate,
        kind: OutcomeKind = OutcomeKind.ANSWERED,
        *,
        load: TargetLoad | None = None,
    ) -> None:
        self.chooser.record_outcome(
            TargetOutcome(key=candidate.key, kind=kind, load=load),
        )
