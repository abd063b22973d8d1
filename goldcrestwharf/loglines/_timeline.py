"""Timeline of one request, from the logs of several daemons."""

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

#: Events that end a request at the daemon that received it from the caller.
_FINAL_EVENTS = frozenset(
    (
        'request.answered',
        'request.cut_off',
        'request.failed',
        'request.not_routed',
        'request.refused',
        'request.timed_out',
    )
)

_MS_PER_S = 1000

#: Fields that are in every line, or shown in a column of their own.
_COMMON_FIELDS = frozenset((TIME, EVENT, 'level', 'request', 'age_ms'))


@attrs.frozen(kw_only=True)
class TimelineEntry:
    """Logged event of a request.

    ``offset_ms`` counts from the first byte of the request; it is as exact
    as the daemons' clocks are synchronized. ``source`` names the log.
    """

    offset_ms: int
    source: str
    event: str
    fields: Fields

    def __str__(self) -> str:
        """Return the offset, source, event and fields in one line."""
        sign = '+' if self.offset_ms >= 0 else ''
        offset = f'{sign}{self.offset_ms} ms'
        shown = (
            f'{name}={field}'
            for name, field in self.fields.items()
            if name not in _COMMON_FIELDS
        )
        return '  '.join((offset, self.source, self.event, ' '.join(shown)))


def find_timeline(
    request_id: str,
    logs: Iterable[DaemonLog],
) -> tuple[TimelineEntry, ...]:
    """Return the events of a request and of its sub-requests, by time.

    Lines that aren't JSON are skipped. The last word before the JSON, if
    any, is taken as the source of a line.
    """
    lines = [
        line
        for log in logs
        for line in read_lines(log)
        if _is_of_request(line.fields, request_id)
    ]
    lines.sort(key=lambda line: line.at)
    began_at = min((line.request_began_at for line in lines), default=0)
    return tuple(_make_entry(line, began_at) for line in lines)


def find_final_event(timeline: Iterable[TimelineEntry]) -> TimelineEntry | None:
    """Return the entry that ended the request, ``None`` if it isn't logged."""
    final_events = [entry for entry in timeline if entry.event in _FINAL_EVENTS]
    return final_events[-1] if final_events else None


def _make_entry(line: LogLine, began_at: float) -> TimelineEntry:
    return TimelineEntry(
        offset_ms=round((line.at - began_at) * _MS_PER_S),
        source=line.source,
        event=line.fields[EVENT],
        fields=line.fields,
    )


def _is_of_request(fields: Fields, request_id: str) -> bool:
    """Return whether a line is of the request or of a sub-request of it."""
    logged = str(fields.get('request', ''))
    return logged == request_id or logged.startswith(f'{request_id}.')
