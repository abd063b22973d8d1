"""Treatment of targets that said that they will stop."""

from collections.abc import Iterable, Iterator

from goldcrestwharf.discovery import Departures
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import Candidate

_log = EventLog(__name__)


def exclude_departed(
    candidates: Iterable[Candidate], departures: Departures
) -> Iterator[Candidate]:
    """Yield the candidates that may get requests; mark departing ones."""
    for candidate in candidates:
        if departures and candidate.process in departures:
            candidate.is_draining = True
            if departures.is_over(candidate.process):
                continue
        yield candidate


def record_departure(candidate: Candidate, departures: Departures) -> None:
    """Record that the target of a candidate will stop."""
    if candidate.process not in departures:
        _log.note(
            'target.departing',
            peer=candidate.daemon,
            instance=candidate.instance_id,
        )
    departures.record(candidate.process)
