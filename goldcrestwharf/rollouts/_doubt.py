"""Doubts of the controller about a new version."""

import attrs

from goldcrestwharf.rollouts._book import Comparison, EvidenceBook
from goldcrestwharf.rollouts._certainty import EARLY, FINAL, Certainty
from goldcrestwharf.rollouts._evidence import RouteEvidence, count_answers
from goldcrestwharf.rollouts._fault_tests import Fault
from goldcrestwharf.rollouts._judge import (
    Finding,
    count_timed,
    find_failure_share,
    is_slow,
    judge,
)
from goldcrestwharf.rollouts._order import RolloutTerms

#: Seconds for which a fault must be seen: the reports of the old targets of
#: the same time have arrived by then. At most a tenth of the time in which a
#: bad version must have lost its traffic.
_CONFIRMATION_S = 0.2
_MAX_CONFIRMATION_FRACTION = 0.1

#: Slow answers after which the only target that was measured suffices: no time
#: is left to see whether only its machine is slow.
_MAX_SLOW = 40

#: Service times from which on a target is measured, and the share of these
#: targets that a slow version slows down noticeably.
_MIN_TIMES = 5
_SLOW_TARGETS = 1 / 3

#: Answers of the old targets of a zone that show whether it is in trouble, and
#: the fraction of the new version's share of failures that they then have.
_MIN_LOCAL_ANSWERS = 20
_LOCAL_FRACTION = 0.5

#: Answers per route that suffice for a good verdict, and the part of the
#: expected number that does on a route with little traffic.
_ENOUGH_ANSWERS = 20
_ENOUGH_SHARE = 0.02

#: Answers in total without which no version is judged good at the last moment,
#: unless fewer could be expected.
_LEAST_ANSWERS = 5


@attrs.frozen(kw_only=True)
class Doubt:
    """Why a version isn't judged good; ``is_final`` if it ends the trial."""

    reason: str
    finding: Finding | None = None
    is_final: bool = False


class FaultFinder:
    """Search for faults, each confirmed before it counts.

    ``rotations`` counts how often other targets were asked for, to tell a
    slow version from a slow machine. ``recent`` is the evidence of the last
    seconds.
    """

    def __init__(self, *, terms: RolloutTerms) -> None:
        """Confirm faults well within the bounds of ``terms``."""
        self.rotations = 0
        self.recent: Comparison | None = None
        self._confirmation = min(
            _CONFIRMATION_S, terms.rollback * _MAX_CONFIRMATION_FRACTION
        )
        self._seen_at: dict[tuple[str, Fault], float] = {}

    def find(
        self,
        book: EvidenceBook,
        total: Comparison,
        now: float,
    ) -> Finding | None:
        """Return a confirmed fault, seen in all answers or in recent ones."""
        self.recent = book.compare_recent(total, now)
        finding = _judge_both(total, self.recent, EARLY)
        if finding is None:
            self._seen_at.clear()
            return None
        key = (finding.route, finding.fault)
        if key not in self._seen_at:
            self._seen_at[key] = now
            self.rotations += finding.fault is Fault.SLOW
        is_confirmed = now - self._seen_at[key] >= self._confirmation
        if is_confirmed and _is_common(finding, book):
            return None if _is_local_trouble(finding, book) else finding
        return None


def _is_common(finding: Finding, book: EvidenceBook) -> bool:
    """Return whether a fault is that of the version, not of one machine."""
    if finding.fault is Fault.FAILURES:
        return True
    old = book.compare().old
    measured = [
        is_slow(evidence, old, finding.route)
        for evidence in book.list_new().values()
        if count_timed(evidence, finding.route) >= _MIN_TIMES
    ]
    if len(measured) < 2:
        return book.targets < 2 or finding.bad >= _MAX_SLOW
    return sum(measured) >= max(len(measured) * _SLOW_TARGETS, 2)


def _is_local_trouble(finding: Finding, book: EvidenceBook) -> bool:
    """Return whether the old targets fail alike in the same zones.

    Calls between services fail there when a zone is cut off, and a trial may
    use targets of this zone alone.
    """
    if finding.fault is not Fault.FAILURES:
        return False
    local = book.compare_zones()
    new_share, _ = find_failure_share(local.new, finding.route)
    old_share, old_answers = find_failure_share(local.old, finding.route)
    if old_answers < _MIN_LOCAL_ANSWERS:
        return False
    return old_share >= new_share * _LOCAL_FRACTION


def _judge_both(
    total: Comparison, recent: Comparison | None, certainty: Certainty
) -> Finding | None:
    finding = judge(total.new, total.old, certainty)
    if finding is None and recent is not None:
        return judge(recent.new, recent.old, certainty)
    return finding


def find_doubt(
    book: EvidenceBook, faults: FaultFinder, obstacle: str, *, is_due: bool
) -> Doubt | None:
    """Return why a version without a fault isn't judged good yet.

    ``obstacle`` says why its targets can't take over, if they can't.
    ``is_due`` is set when the verdict has to rest on the evidence so far.
    """
    total = book.compare()
    finding = _judge_both(total, faults.recent, FINAL)
    if finding is not None and _is_common(finding, book):
        return Doubt(reason=finding.fault, finding=finding, is_final=is_due)
    reason = obstacle or _find_shortage(total, is_due=is_due)
    return Doubt(reason=reason) if reason else None


def _find_shortage(total: Comparison, *, is_due: bool) -> str:
    """Return what evidence is missing for a good verdict, empty if none."""
    if is_due:
        expected = count_answers(total.old) * _ENOUGH_SHARE
        answers = count_answers(total.new)
        return 'no answers' if answers < min(expected, _LEAST_ANSWERS) else ''
    for route, counts in total.old.items():
        wanted = min(counts.answers * _ENOUGH_SHARE, _ENOUGH_ANSWERS)
        if total.new.get(route, RouteEvidence()).answers < wanted:
            return 'few answers'
    return ''
