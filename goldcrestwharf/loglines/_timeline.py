"""Gather the lines of one request from the logs of several daemons."""

from collections.abc import Iterable

import attrs

from goldcrestwharf.loglines._log_lines import (
    EVENT,
    TIME,
    DaemonLog,
    Fields,
    LogLine,
    read_lines,
)

#: Events that end a request at the daemon that took it from the caller.
ENDINGS = frozenset(
    (
        'request.answered',
        'request.failed',
        'request.not_routed',
        'request.refused',
        'request.timed_out',
    )
)

_MS_PER_S = 1000

#: Fields that each line has; the others are shown behind the event.
_COMMON = frozenset((TIME, EVENT, 'level', 'request', 'age_ms'))


@attrs.frozen(kw_only=True)
class TimelineEntry:
    """Hold one line about a request.

    ``offset_ms`` counts from the first byte of the request, as far as the
    clocks of the daemons agree, and ``source`` names the daemon's log.
    """

    offset_ms: int
    source: str
    event: str
    fields: Fields

    def __str__(self) -> str:
        """Return the line as text."""
        sign = '+' if self.offset_ms >= 0 else ''
        offset = f'{sign}{self.offset_ms} ms'
        shown = (
            f'{name}={found}'
            for name, found in self.fields.items()
            if name not in _COMMON
        )
        return '  '.join((offset, self.source, self.event, ' '.join(shown)))


def find_timeline(
    request_id: str,
    logs: Iterable[DaemonLog],
) -> tuple[TimelineEntry, ...]:
    """Return the lines on a request and on the calls made for it, by time.

    Lines that are no JSON are passed over; what stands before the JSON
    names the source.
    """
    found = [
        line
        for log in logs
        for line in read_lines(log)
        if _belongs(line.fields, request_id)
    ]
    found.sort(key=lambda line: line.at)
    began_at = min((line.began_at for line in found), default=0)
    return tuple(_make_entry(line, began_at) for line in found)


def find_ending(timeline: Iterable[TimelineEntry]) -> TimelineEntry | None:
    """Return the entry that ended the request, if it was logged."""
    endings = [entry for entry in timeline if entry.event in ENDINGS]
    return endings[-1] if endings else None


def _make_entry(line: LogLine, began_at: float) -> TimelineEntry:
    return TimelineEntry(
        offset_ms=round((line.at - began_at) * _MS_PER_S),
        source=line.source,
        event=line.fields[EVENT],
        fields=line.fields,
    )


def _belongs(fields: Fields, request_id: str) -> bool:
    """Tell whether a line is of a request, or of a call made for it."""
    logged = str(fields.get('request', ''))
    return logged == request_id or logged.startswith(f'{request_id}.')
