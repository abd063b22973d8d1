"""Check the decisions of a controller over the time of an order."""

import attrs
import pytest

from goldcrestwharf.rollouts import (
    Decision,
    FleetView,
    Phase,
    RolloutController,
    RolloutStatus,
    RolloutTerms,
    judge,
)
from goldcrestwharf.rollouts._certainty import EARLY
from test.helper import make_rng
from test.rollouts.helper import Clock, Owner, make_state

STEP_S = 0.1


class Trial:
    """Controller of an order for 12 s, with 12 old and 12 new targets.

    ``load`` is called at each step with the owners of the targets.
    """

    def __init__(self) -> None:
        self._clock = Clock()
        self.state = make_state(self._clock)
        self.old = [Owner(f'old-{one}', 'v1') for one in range(12)]
        self.new = [Owner(f'new-{one}', 'v2') for one in range(12)]
        self.view = FleetView(
            old={one.daemon: 7 for one in self.old},
            new={one.daemon: 7 for one in self.new},
        )
        self.decisions: list[Decision] = []
        self.controller = self.make_controller()
        self._rng = make_rng()

    @property
    def elapsed(self) -> float:
        return self._clock() - self.state.began_at

    def pause(self, seconds: float) -> None:
        self._clock.now += seconds

    @property
    def canary(self) -> Owner:
        return self.new[self.state.rotation % len(self.new)]

    def make_controller(self) -> RolloutController:
        return RolloutController(
            order=self.state.order, terms=RolloutTerms(), clock=self._clock
        )

    def step(self) -> None:
        self._clock.now += STEP_S
        for owner in (*self.old, *self.new):
            self.controller.receive(owner.report())
        decision = self.controller.step(self.state, self.view)
        if decision.state.phase is not self.state.phase:
            self.decisions.append(decision)
        self.state = decision.state

    def run(self, until: float, *, failed: float = 0, **answer: object) -> None:
        """Serve 80 requests a second at the old targets until a time.

        The new version gets 7 a second, of which a share ``failed`` fails.
        """
        for _ in range(round((until - self.elapsed) / STEP_S)):
            for owner in self._rng.sample(self.old, 8):
                owner.answer(good=1)
            if self.state.phase is Phase.TRIAL and self._rng.random() < 0.7:
                has_failed = self._rng.random() < failed
                self.canary.answer(
                    good=not has_failed,
                    failed=has_failed,
                    **answer,  # type: ignore[arg-type]
                )
            self.step()
            if self.state.phase.is_terminal:
                return


def test_good_version_moves_after_its_trial_and_completes_in_time() -> None:
    trial = Trial()
    trial.run(7.1)
    assert trial.state.phase is Phase.TRIAL
    trial.run(8.8)
    assert trial.state.phase is Phase.MOVING
    status = trial.controller.find_status(trial.state)
    assert status is RolloutStatus.COMPLETED
    assert trial.state.rotation >= 2


@pytest.mark.parametrize('begins_at', [0, 5])
def test_fault_costs_few_answers_whenever_it_begins(begins_at: float) -> None:
    """Load: 87 requests a second, half of the few at the new version fail.

    A naive rule acts at the fiftieth bad answer; the earlier rule never did.
    """
    trial = Trial()
    trial.run(begins_at + 0.1)
    trial.run(12, failed=0.5)
    assert trial.state.phase is Phase.ROLLED_BACK
    finding = trial.decisions[0].finding
    assert finding is not None
    assert 5 <= finding.bad <= 10


def test_late_fault_is_seen_among_many_good_answers() -> None:
    """Load: 400 good answers of the new version, then six that fail.

    Guards against a late fault that is diluted: a naive rule that looks at
    all answers alone sees nothing yet.
    """
    trial = Trial()
    trial.canary.answer(good=400)
    trial.run(4)
    trial.canary.answer(failed=6)
    trial.run(4.6)
    assert trial.state.phase is Phase.ROLLED_BACK
    total = trial.controller.book.compare()
    assert judge(total.new, total.old, EARLY) is None


def test_failures_that_both_versions_have_are_no_fault() -> None:
    """Guards against a failed call between services that ends a roll-out."""
    trial = Trial()
    trial.run(3)
    for owner in trial.old:
        owner.answer(failed=30)
    trial.canary.answer(failed=20)
    trial.run(8)
    assert trial.state.phase is Phase.MOVING


def test_failures_of_the_only_zone_of_the_trial_are_no_fault() -> None:
    """Guards against a zone that is cut off from the services it calls."""
    trial = Trial()
    trial.old = [
        Owner(f'old-{one}', 'v1', zone='b' if one else 'a') for one in range(12)
    ]
    trial.run(3)
    trial.old[0].answer(failed=25)
    trial.canary.answer(failed=20)
    trial.run(4)
    assert trial.state.phase is Phase.TRIAL


def test_bad_answers_outlive_the_daemon_that_counted_them() -> None:
    """Guards against a version that takes its evidence down with it."""
    trial = Trial()
    trial.run(1)
    trial.canary.answer(failed=4)
    trial.step()
    trial.new[0] = Owner('new-0', 'v2')
    trial.canary.answer(failed=4)
    trial.run(2)
    assert trial.state.phase is Phase.ROLLED_BACK


def test_slow_version_is_told_from_a_slow_machine() -> None:
    """Guards against interference at one machine that ends a roll-out."""
    trial = Trial()
    trial.canary.answer(good=12, seconds=0.9)
    for owner in trial.old:
        owner.answer(good=10)
    for _ in range(8):
        trial.step()
    assert trial.state.phase is Phase.TRIAL
    assert trial.state.rotation == 1
    trial.canary.answer(good=6, seconds=0.9)
    for _ in range(4):
        trial.step()
    assert trial.state.phase is Phase.ROLLED_BACK


def test_order_without_targets_is_rolled_back_before_its_end() -> None:
    trial = Trial()
    trial.view = attrs.evolve(trial.view, new={})
    trial.new = []
    while not trial.state.phase.is_terminal:
        trial.step()
    assert 7.2 < trial.elapsed < 12
    assert trial.decisions[0].reason == 'no target'


def test_too_few_new_targets_take_over_nothing() -> None:
    """Guards against an overload by a move to targets that still start."""
    trial = Trial()
    enough = trial.view
    trial.view = attrs.evolve(enough, new={'new-0': 7})
    trial.run(8)
    assert trial.state.phase is Phase.TRIAL
    trial.view = enough
    trial.run(8.2)
    assert trial.state.phase is Phase.MOVING


def test_version_that_answers_nothing_is_not_completed() -> None:
    trial = Trial()
    trial.new = []
    while not trial.state.phase.is_terminal:
        for owner in trial.old:
            owner.answer(good=1)
        trial.step()
    assert trial.decisions[0].reason == 'no answers'


def test_fault_under_full_load_ends_the_move() -> None:
    """Guards against a fault that shows only with all requests."""
    trial = Trial()
    trial.run(7.3)
    assert trial.state.phase is Phase.MOVING
    moved_at = trial.elapsed
    while not trial.state.phase.is_terminal:
        for owner in trial.new:
            owner.answer(good=1, failed=1)
        trial.step()
    assert trial.elapsed - moved_at < 0.6
    status = trial.controller.find_status(trial.state)
    assert status is RolloutStatus.ROLLED_BACK


def test_move_waits_for_requests_in_flight() -> None:
    """Guards against old targets that stop with requests in flight."""
    trial = Trial()
    trial.run(7.3)
    trial.old[3].in_flight = 1
    trial.run(8.6)
    assert trial.state.phase is Phase.MOVING
    status = trial.controller.find_status(trial.state)
    assert status is RolloutStatus.RUNNING
    trial.old[3].in_flight = 0
    trial.run(8.8)
    status = trial.controller.find_status(trial.state)
    assert status is RolloutStatus.COMPLETED


def test_new_controller_judges_only_with_the_totals_of_all() -> None:
    """Guards against a controller that takes over and knows nothing."""
    trial = Trial()
    trial.run(7)
    trial.controller = trial.make_controller()
    trial.run(8)
    assert trial.state.phase is Phase.TRIAL
    trial.run(8.4)
    assert trial.state.phase is Phase.MOVING


def test_paused_controller_completes_nothing_when_it_resumes() -> None:
    """Guards against the belief of a controller that was replaced."""
    trial = Trial()
    trial.run(8.5)
    trial.pause(5)
    status = trial.controller.find_status(trial.state)
    assert status is RolloutStatus.RUNNING
    trial.step()
    status = trial.controller.find_status(trial.state)
    assert status is RolloutStatus.RUNNING


def test_controller_that_is_cut_off_leaves_the_end_to_others() -> None:
    """Guards against one zone that ends the order of all."""
    trial = Trial()
    trial.view = attrs.evolve(trial.view, reach=0.25)
    trial.run(11.5)
    assert trial.state.phase is Phase.TRIAL
    trial.run(11.9)
    assert trial.state.phase is Phase.ROLLED_BACK
