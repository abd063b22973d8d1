"""Judge the requests around planned stops by the users' rule for them."""

import enum
import math
from collections import Counter
from collections.abc import Iterator

import attrs

from test.soak.stop_records import (
    EVERY_VM,
    Span,
    StopRecords,
    StopRequest,
    StopRun,
)

GRACE_S = 6.0

#: Seconds after the grace period in which a request still counts.
_AFTERMATH_S = 1.0

#: Seconds that a request may wait at a connection that is closing.
_LOSS_SLACK_S = 0.2

#: Seconds for which a disruption keeps acting.
_CONTACT_S = 3.0

#: Requests sent later than this after SIGTERM get no allowance for the end of
#: the grace period, of which it is the last sixth.
EARLY_S = 3.0
_LAST_PART_S = GRACE_S * 5 / 6

#: Connections that a daemon may close on requests that ran, in a run.
_MAX_CLOSURES = 3

#: Tolerance of the comparison with a deadline, in seconds.
_TOLERANCE_S = 0.05

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Ending(enum.StrEnum):
    """How a request ended."""

    ANSWERED = 'answered by its target'
    REFUSED = 'refused'
    GAVE_UP = 'given up by its caller past its limit'
    CLOSED_AFTER_RUN = 'closed after it ran'
    CLOSED_UNREAD = 'closed at once, not run'
    CLOSED_LATE = 'closed late, not run'
    BROKEN_OFF = 'answered with an error while its target was at work'
    FAILED = 'answered with an error'


_PROPER_ENDINGS = frozenset(
    (Ending.ANSWERED, Ending.REFUSED, Ending.GAVE_UP, Ending.CLOSED_UNREAD)
)


@attrs.frozen(kw_only=True)
class Verdict:
    """The ending of a request, and why it doesn't count as lost.

    ``stop`` is the planned stop of the daemon that took it, if any.
    """

    request: StopRequest
    ending: Ending
    stop: Span | None
    excuse: str = ''

    @property
    def is_lost(self) -> bool:
        """Return whether the request counts as lost around a planned stop."""
        is_bad = self.ending in {
            Ending.CLOSED_AFTER_RUN,
            Ending.CLOSED_LATE,
            Ending.BROKEN_OFF,
        }
        return is_bad and self.stop is not None and not self.excuse

    @property
    def is_closed_after_run(self) -> bool:
        """Return whether the connection was closed on it without a reason."""
        return self.ending is Ending.CLOSED_AFTER_RUN and not self.excuse


def judge(records: StopRecords) -> Iterator[Verdict]:
    """Yield the verdict on each request that ended in the run."""
    for request in records.requests.values():
        if math.isinf(request.ended_at):
            continue
        stops = list(
            records.find_stops(
                request.vm,
                request.sent_at,
                request.ended_at,
                GRACE_S + _AFTERMATH_S,
            )
        )
        verdict = Verdict(
            request=request,
            ending=_find_ending(request, records.find_runs(request)),
            stop=stops[0] if stops else None,
        )
        yield attrs.evolve(verdict, excuse=_find_excuse(records, verdict))


def list_violations(records: StopRecords) -> Iterator[str]:
    """Yield the guarantees that were broken, whatever the time."""
    yield from records.violations
    for request in records.requests.values():
        runs = len(records.find_runs(request))
        if request.is_repeatable:
            continue
        if runs > 1:
            yield f'ran {runs} times: {request}'
        if runs and request.status in _NOT_RUN_STATUSES:
            yield f'refused but ran: {request}'
    yield from _list_closures(records)


def _list_closures(records: StopRecords) -> Iterator[str]:
    """Yield the VMs that closed connections on requests that they passed on.

    A few are allowed if the daemon does not stop.
    """
    counts = Counter(
        verdict.request.vm
        for verdict in judge(records)
        if verdict.is_closed_after_run and verdict.stop is None
    )
    for vm, count in counts.items():
        if count > _MAX_CLOSURES:
            yield f'{vm} closed connections on {count} requests that ran'


def count_endings(verdicts: list[Verdict]) -> Counter[str]:
    """Count the endings around stops of the daemon that took the request."""
    counts: Counter[str] = Counter()
    for verdict in verdicts:
        place = 'elsewhere' if verdict.stop is None else 'stopping'
        excuse = f' ({verdict.excuse})' if verdict.excuse else ''
        counts[f'{place}: {verdict.ending}{excuse}'] += 1
    return counts


def _find_ending(request: StopRequest, runs: list[StopRun]) -> Ending:
    if request.has_proof:
        return Ending.ANSWERED
    if request.gave_up:
        return Ending.GAVE_UP
    if not request.status:
        return _find_end_of_connection(request, runs)
    if request.status in _NOT_RUN_STATUSES:
        return Ending.REFUSED
    is_broken_off = any(
        run.is_cut or run.ended_at >= request.ended_at - _TOLERANCE_S
        for run in runs
    )
    return Ending.BROKEN_OFF if is_broken_off else Ending.FAILED


def _find_end_of_connection(
    request: StopRequest, runs: list[StopRun]
) -> Ending:
    if runs:
        return Ending.CLOSED_AFTER_RUN
    is_late = request.ended_at - request.sent_at > _LOSS_SLACK_S
    return Ending.CLOSED_LATE if is_late else Ending.CLOSED_UNREAD


def _find_excuse(records: StopRecords, verdict: Verdict) -> str:
    """Return why an ending without the target's answer is allowed."""
    if verdict.ending in _PROPER_ENDINGS:
        return ''
    request = verdict.request
    if request.ended_at - request.sent_at > request.limit - _TOLERANCE_S:
        return 'its time was over'
    runs = records.find_runs(request)
    disruption = _find_disruption(records, request, runs)
    return disruption or _find_stop_excuse(records, verdict, runs)


def _find_stop_excuse(
    records: StopRecords, verdict: Verdict, runs: list[StopRun]
) -> str:
    request = verdict.request
    if verdict.stop is None:
        return _find_other_stop(records, request, runs)
    began_at = verdict.stop.began_at
    is_early = request.sent_at <= began_at + EARLY_S
    worked_late = any(run.ended_at >= began_at + _LAST_PART_S for run in runs)
    return 'at work in the last sixth' if is_early and worked_late else ''


def _find_disruption(
    records: StopRecords, request: StopRequest, runs: list[StopRun]
) -> str:
    vms = {request.vm, EVERY_VM} | {run.vm for run in runs}
    for span in records.disruptions:
        acts = span.began_at <= request.ended_at and span.vm in vms
        if acts and request.sent_at <= span.ended_at + _CONTACT_S:
            return f'beside {span.kind}'
    return ''


def _find_other_stop(
    records: StopRecords, request: StopRequest, runs: list[StopRun]
) -> str:
    span = GRACE_S + _AFTERMATH_S
    for run in runs:
        stops = records.find_stops(
            run.vm, request.sent_at, request.ended_at, span
        )
        if any(stops):
            return 'beside the stop of its target'
    return ''
