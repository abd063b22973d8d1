"""Decisions of the controller of one roll-out."""

from collections.abc import Callable, Mapping

import attrs

from goldcrestwharf.rollouts._book import (
    Comparison,
    EvidenceBook,
    TargetReport,
)
from goldcrestwharf.rollouts._continuity import Continuity
from goldcrestwharf.rollouts._doubt import Doubt, FaultFinder, find_doubt
from goldcrestwharf.rollouts._judge import Finding
from goldcrestwharf.rollouts._move import Move
from goldcrestwharf.rollouts._order import (
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutTerms,
)
from goldcrestwharf.rollouts._schedule import Schedule

#: Share of the daemons that a controller must reach to judge a version good.
#: One zone that is cut off has less.
_MIN_REACH = 0.4

#: Share of the slots of the old targets that the new ones must have.
_MIN_CAPACITY = 0.5


@attrs.frozen(kw_only=True)
class FleetView:
    """What the controller sees of the fleet.

    ``old`` and ``new`` have the slots of the targets that take requests, by
    the daemon beside them. ``reach`` is the share of the known daemons that
    are in reach. ``is_in_use`` is set if the new version already gets all
    requests, so that there are no old targets.
    """

    old: Mapping[str, int]
    new: Mapping[str, int]
    reach: float = 1
    is_in_use: bool = False

    @property
    def is_cut_off(self) -> bool:
        """Return whether too few daemons are in reach to go on."""
        return self.reach < _MIN_REACH


@attrs.frozen(kw_only=True)
class Decision:
    """State after a step; ``reason`` says why the phase changed, if it did."""

    state: RolloutState
    reason: str = ''
    finding: Finding | None = None


class RolloutController:
    """Controller of one order, run at one daemon at a time.

    All daemons have one: those that don't control only follow.
    """

    def __init__(
        self,
        *,
        order: RolloutOrder,
        terms: RolloutTerms,
        clock: Callable[[], float],
    ) -> None:
        """Decide on ``order``; ``clock`` returns monotonic seconds."""
        self.book = EvidenceBook(version=order.version)
        self._schedule = Schedule(duration=order.duration)
        self._faults = FaultFinder(terms=terms)
        self._clock = clock
        self._continuity = Continuity(clock=clock)
        self._move = Move(limit=self._schedule.moving_limit, clock=clock)

    def receive(self, report: TargetReport) -> None:
        """Take in the totals of the target beside a daemon."""
        self.book.receive(report, self._clock())

    def follow(self, state: RolloutState) -> None:
        """Note the state while another daemon controls the order."""
        self._continuity.interrupt()
        self._move.note_phase(state)

    def find_status(self, state: RolloutState) -> RolloutStatus:
        """Return the status that the store should have."""
        if state.phase is Phase.ROLLED_BACK:
            return RolloutStatus.ROLLED_BACK
        is_moved = self._move.is_done and not self._continuity.is_stale
        if state.phase is Phase.COMPLETED or is_moved:
            return RolloutStatus.COMPLETED
        return RolloutStatus.RUNNING

    def step(self, state: RolloutState, view: FleetView) -> Decision:
        """Return the state after the decisions that are due."""
        self._move.note_phase(state)
        if self._continuity.is_stale:
            self._move.is_done = False
            self.book.clear()
        self._continuity.record_step()
        if state.phase.is_terminal or self._move.is_done:
            return Decision(state=state)
        total = self.book.compare()
        self.book.targets = len(view.new)
        finding = self._faults.find(self.book, total, self._clock())
        if finding is not None:
            return _change(state, Phase.ROLLED_BACK, finding.fault, finding)
        if state.phase is Phase.TRIAL:
            return self._step_trial(state, view, total)
        if self._continuity.is_settled:
            self._move.step(view.old, self.book)
        return Decision(state=state)

    def _step_trial(
        self, state: RolloutState, view: FleetView, total: Comparison
    ) -> Decision:
        elapsed = self._clock() - state.began_at
        is_early = elapsed < self._schedule.good_from
        if is_early or not self._continuity.is_settled:
            return Decision(state=self._rotate(state, view, elapsed))
        doubt = find_doubt(
            self.book,
            self._faults,
            _find_obstacle(view, total),
            is_due=elapsed >= self._schedule.verdict_due,
        )
        if elapsed >= self._find_end(view):
            doubt = doubt or Doubt(reason='overdue')
            return _change(state, Phase.ROLLED_BACK, doubt.reason)
        if doubt is None:
            return _change(state, Phase.MOVING, 'good')
        if doubt.is_final:
            return _change(
                state, Phase.ROLLED_BACK, doubt.reason, doubt.finding
            )
        return Decision(state=self._rotate(state, view, elapsed))

    def _find_end(self, view: FleetView) -> float:
        if view.is_cut_off:
            return self._schedule.abandoned_at
        return self._schedule.given_up_at

    def _rotate(
        self, state: RolloutState, view: FleetView, elapsed: float
    ) -> RolloutState:
        due = int(elapsed / self._schedule.rotation_period)
        if len(view.new) > 1:
            due += self._faults.rotations
        return attrs.evolve(state, rotation=max(state.rotation, due))


def _find_obstacle(view: FleetView, total: Comparison) -> str:
    """Return why the new targets can't take over, empty if they can."""
    if view.is_cut_off:
        return 'cut off'
    if not view.new:
        return 'no target'
    has_old = view.old or total.old
    if not (has_old or view.is_in_use):
        return 'no old target'
    old = sum(view.old.values())
    if sum(view.new.values()) < old * _MIN_CAPACITY:
        return 'too few targets'
    return ''


def _change(
    state: RolloutState,
    phase: Phase,
    reason: str,
    finding: Finding | None = None,
) -> Decision:
    return Decision(
        state=attrs.evolve(state, phase=phase),
        reason=str(reason),
        finding=finding,
    )
