"""Property tests under random outcomes and membership changes."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestwharf.membership import MemberState, TargetState
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.routing import Candidate, OutcomeKind, RoutingSettings
from goldcrestwharf.routing._ejection import Ejector
from goldcrestwharf.routing._record import TargetRecord
from test.routing.fleet import GROUP, FakeView, Fleet, key, make_pair

COUNT = 5
STATES = (
    (MemberState.ALIVE, TargetState.READY),
    (MemberState.ALIVE, TargetState.READY),
    (MemberState.SUSPECT, TargetState.READY),
    (MemberState.LEAVING, TargetState.READY),
    (MemberState.ALIVE, TargetState.LEAVING),
)
USABLE = frozenset((MemberState.ALIVE, MemberState.SUSPECT))

STEPS = st.one_of(
    st.tuples(st.just('choose'), st.integers(0, 2**COUNT - 1)),
    st.tuples(st.just('end'), st.sampled_from(OutcomeKind)),
    st.tuples(st.just('end'), st.sampled_from(OutcomeKind)),
    st.tuples(st.just('change'), st.integers(0, 10**6)),
    st.tuples(st.just('wait'), st.sampled_from((0.01, 1, 30))),
)


class Model:
    """Chooser under test with a check of each choice."""

    def __init__(self) -> None:
        self.fleet = Fleet(view=FakeView())
        self.open: list[Candidate] = []
        self.change(0)

    def step(self, action: str, number: object) -> None:
        match action, number:
            case 'choose', int(excluded):
                self.choose(excluded)
            case 'change', int(seed):
                self.change(seed)
            case 'wait', seconds:
                self.fleet.timers.skip(float(str(seconds)))
            case 'end', OutcomeKind() as kind if self.open:
                self.fleet.note(self.open.pop(0), kind)

    def change(self, seed: int) -> None:
        rng = random.Random(seed)
        pairs = []
        for number in range(COUNT):
            member_state, target_state = rng.choice(STATES)
            pairs.append(
                make_pair(
                    number,
                    zone=rng.choice(('recife-a', 'recife-b')),
                    member_state=member_state,
                    target_state=target_state,
                ),
            )
        self.fleet.view.pairs = tuple(rng.sample(pairs, rng.randint(0, COUNT)))

    def choose(self, excluded: int) -> None:
        listed = [
            Candidate(member=member, target=target)
            for member, target in self.fleet.view.pairs
        ]
        exclude = frozenset(
            one.key
            for number, one in enumerate(listed)
            if excluded & (1 << number)
        )
        allowed = [
            one
            for one in listed
            if one.key not in exclude
            and one.member.state in USABLE
            and one.target.state is TargetState.READY
        ]
        chosen = self.fleet.chooser.choose(
            GROUP,
            TargetGroup(),
            exclude=exclude,
        )
        assert (chosen is None) is (not allowed)
        if chosen is not None:
            assert chosen in allowed
            self.open.append(chosen)


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(steps=st.lists(STEPS, min_size=10, max_size=120))
def test_choice_is_allowed_and_made_if_possible(
    steps: list[tuple[str, object]],
) -> None:
    model = Model()
    for step in steps:
        model.step(*step)


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(
    ends=st.lists(
        st.tuples(
            st.integers(0, 9),
            st.sampled_from(OutcomeKind),
            st.sampled_from((0, 0, 0, 3)),
        ),
        max_size=300,
    ),
    percents=st.lists(st.integers(0, 100), min_size=1, max_size=4),
)
def test_ejections_stay_within_cap(
    ends: list[tuple[int, OutcomeKind, int]],
    percents: list[int],
) -> None:
    cfg = RoutingSettings()
    ejector = Ejector(cfg=cfg, rng=random.Random(1))
    records = tuple(
        TargetRecord(key=key(number), cfg=cfg, now=0) for number in range(10)
    )
    now = 0
    for turn, (number, kind, wait) in enumerate(ends):
        percent = percents[turn * len(percents) // len(ends)]
        count = 10 - turn // 50
        group = TargetGroup(max_ejected_percent=percent, eject_after=2)
        ejector.replace_targets(records[:count], group=group, now=now)
        now += wait
        ejector.record_outcome(records[number % count], kind, now)
        ejected = [
            one for one in records[:count] if one.ejected_until is not None
        ]
        assert len(ejected) <= count * percent // 100
        assert set(ejected) == set(ejector.ejected)
