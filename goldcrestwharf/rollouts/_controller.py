"""Decisions of the controller of one roll-out."""

from collections.abc import Callable, Mapping

import attrs

from goldcrestwharf.rollouts._book import (
    Comparison,
    EvidenceBook,
    TargetReport,
)
from goldcrestwharf.rollouts._doubt import Doubt, FaultFinder, find_doubt
from goldcrestwharf.rollouts._judge import Finding
from goldcrestwharf.rollouts._order import (
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutTerms,
)
from goldcrestwharf.rollouts._schedule import Schedule

#: Seconds between two steps that show a pause of this process.
_MAX_STEP_INTERVAL_S = 1.0

#: Seconds after which a controller that has just taken over, or resumed, has
#: the totals of all daemons and the decisions of another controller.
_SETTLE_S = 1.2

#: Least time for which requests move, in seconds, and the time after which an
#: idle report of an old target counts: all entries know the phase by then.
_MIN_MOVING_S = 0.7
_MOVE_KNOWN_S = 0.4

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
    are in reach.
    """

    old: Mapping[str, int]
    new: Mapping[str, int]
    reach: float = 1


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
        self._stepped_at: float | None = None
        self._since = clock()
        self._moved_at: float | None = None
        self._is_moved = False

    def receive(self, report: TargetReport) -> None:
        """Take in the totals of the target beside a daemon."""
        self.book.receive(report, self._clock())

    def follow(self, state: RolloutState) -> None:
        """Note the state while another daemon controls the order."""
        self._stepped_at = None
        self._note_phase(state)

    def find_status(self, state: RolloutState) -> RolloutStatus:
        """Return the status that the store should have."""
        if state.phase is Phase.ROLLED_BACK:
            return RolloutStatus.ROLLED_BACK
        if state.phase is Phase.COMPLETED or self._is_moved:
            return RolloutStatus.COMPLETED
        return RolloutStatus.RUNNING

    def step(self, state: RolloutState, view: FleetView) -> Decision:
        """Return the state after the decisions that are due."""
        now = self._clock()
        self._note_phase(state)
        self._note_step(now)
        if state.phase.is_terminal or self._is_moved:
            return Decision(state=state)
        total = self.book.compare()
        finding = self._faults.find(self.book, total, len(view.new), now)
        if finding is not None:
            return _change(state, Phase.ROLLED_BACK, finding.fault, finding)
        if state.phase is Phase.TRIAL:
            return self._step_trial(state, view, total)
        self._step_moving(view)
        return Decision(state=state)

    def _note_phase(self, state: RolloutState) -> None:
        if state.phase is Phase.MOVING and self._moved_at is None:
            self._moved_at = self._clock()

    def _note_step(self, now: float) -> None:
        """Distrust what was received before a pause or a change of role."""
        before = self._stepped_at
        self._stepped_at = now
        if before is None:
            self._since = now
        elif now - before > _MAX_STEP_INTERVAL_S:
            self._since = now
            self.book.clear()

    def _step_trial(
        self, state: RolloutState, view: FleetView, total: Comparison
    ) -> Decision:
        now = self._clock()
        elapsed = now - state.began_at
        is_settled = now - self._since >= _SETTLE_S
        if elapsed < self._schedule.good_from or not is_settled:
            return Decision(state=self._rotate(state, view, elapsed))
        doubt = find_doubt(
            total,
            _find_obstacle(view),
            is_due=elapsed >= self._schedule.verdict_due,
        )
        if elapsed >= self._schedule.given_up_at:
            doubt = doubt or Doubt(reason='overdue')
            return _change(state, Phase.ROLLED_BACK, doubt.reason)
        if doubt is None:
            return _change(state, Phase.MOVING, 'good')
        if doubt.is_final:
            return _change(
                state, Phase.ROLLED_BACK, doubt.reason, doubt.finding
            )
        return Decision(state=self._rotate(state, view, elapsed))

    def _rotate(
        self, state: RolloutState, view: FleetView, elapsed: float
    ) -> RolloutState:
        due = int(elapsed / self._schedule.rotation_period)
        if len(view.new) > 1:
            due += self._faults.rotations
        return attrs.evolve(state, rotation=max(state.rotation, due))

    def _step_moving(self, view: FleetView) -> None:
        """Finish the move when the old targets are idle, or in any case."""
        moved_at = self._moved_at or 0
        moving = self._clock() - moved_at
        is_idle = moving >= _MIN_MOVING_S and self.book.are_idle(
            view.old, moved_at + _MOVE_KNOWN_S
        )
        self._is_moved = is_idle or moving >= self._schedule.moving_limit


def _find_obstacle(view: FleetView) -> str:
    """Return why the new targets can't take over, empty if they can."""
    if view.reach < _MIN_REACH:
        return 'cut off'
    if not view.new:
        return 'no target'
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
